package orders

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// SendOrder sends an order to the engine. The executor compares NotAfter with its clock at
// the last moment before it sends, and drops the order if it is late; a process that was
// paused in between does not send. The call is ended after Timeout.
type SendOrder struct {
	Fence    core.Fence
	Kind     OrderKind
	Version  Version
	NotAfter time.Time
	Timeout  time.Duration
}

func (SendOrder) effect() {}
