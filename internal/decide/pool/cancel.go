package pool

import "siskintide.example/siskintide/internal/core"

// Cancel stops a stream at its target that runs there without a ticket.
type Cancel struct {
	Generation  core.GenerationID
	Target      core.TargetID
	Address     string
	Incarnation core.Incarnation
}

func (Cancel) effect() {}
