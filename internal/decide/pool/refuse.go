package pool

import "siskintide.example/siskintide/internal/core"

// Refuse informs an entry host that its request gets no ticket and has not run.
type Refuse struct {
	Generation core.GenerationID
	EntryHost  core.HostID
	Refusal    core.Refusal
}

func (Refuse) effect() {}
