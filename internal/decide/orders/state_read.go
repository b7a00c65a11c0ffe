package orders

import "siskintide.example/siskintide/internal/core"

// StateRead is the answer to ReadState.
type StateRead struct {
	ID          uint64
	OK          bool
	Incarnation core.Incarnation
	Held        []Held
}
