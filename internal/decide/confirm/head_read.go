package confirm

import "siskintide.example/siskintide/internal/decide/revision"

// HeadRead is the answer to ReadHead. Version 0 means that nothing was accepted yet.
type HeadRead struct {
	OK      bool
	Version uint64
	Head    revision.Head
}
