package confirm

import "siskintide.example/siskintide/internal/decide/revision"

// CommitHead replaces the head row if it still has the given version.
type CommitHead struct {
	Version uint64 // 0: the row does not exist
	Head    revision.Head
}

func (CommitHead) step() {}
