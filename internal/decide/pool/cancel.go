package pool

import "siskintide.example/siskintide/internal/core"

// Cancel asks for a stream to be stopped that runs on its target without a ticket.
type Cancel struct {
	Generation  core.GenerationID
	Target      core.TargetID
	Address     string
	Incarnation core.Incarnation
}

func (Cancel) effect() {}
