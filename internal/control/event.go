package control

import "time"

// Event is an input to the control goroutine, which alone calls apply.
type Event interface {
	apply(s *state, now time.Time)
}
