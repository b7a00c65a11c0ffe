package pool

import "siskintide.example/siskintide/internal/core"

// Revoke asks an entry host to stop a generation on its target and run it on another one.
// The ticket stays in use until the entry host closes it.
type Revoke struct {
	Generation core.GenerationID
	Target     core.TargetID
	EntryHost  core.HostID
}

func (Revoke) effect() {}
