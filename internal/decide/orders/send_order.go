package orders

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// SendOrder sends an order to the engine. The caller compares NotAfter with its clock
// immediately before it sends and drops the order if it is late, so that a process that
// was paused in between does not send it. The call is cancelled after Timeout.
type SendOrder struct {
	Fence    core.Fence
	Kind     OrderKind
	Version  Version
	NotAfter time.Time
	Timeout  time.Duration
}

func (SendOrder) effect() {}
