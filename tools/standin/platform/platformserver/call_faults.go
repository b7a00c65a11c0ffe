package platformserver

import "time"

// effects says which faults a call shows.
type effects struct {
	delay      time.Duration
	cut        bool
	down       bool
	loseAnswer bool
	drop       bool
}
