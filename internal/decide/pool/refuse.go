package pool

import "siskintide.example/siskintide/internal/core"

// Refuse tells an entry host that its demand gets no ticket. The request has not run.
type Refuse struct {
	Generation core.GenerationID
	EntryHost  core.HostID
	Refusal    core.Refusal
}

func (Refuse) effect() {}
