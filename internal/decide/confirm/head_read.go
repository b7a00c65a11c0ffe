package confirm

import "siskintide.example/siskintide/internal/decide/revision"

// HeadRead is the result of ReadHead. Version 0 means that no configuration was accepted
// yet.
type HeadRead struct {
	OK      bool
	Version uint64
	Head    revision.Head
}
