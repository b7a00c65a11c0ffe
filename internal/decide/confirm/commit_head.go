package confirm

import "siskintide.example/siskintide/internal/decide/revision"

// CommitHead asks to replace the head row on condition that it still has the given version.
type CommitHead struct {
	Version uint64 // 0: the row does not exist
	Head    revision.Head
}

func (CommitHead) step() {}
