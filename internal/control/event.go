package control

import "time"

// Event is one thing that happened. Its apply runs on the control goroutine only.
type Event interface {
	apply(s *state, now time.Time)
}
