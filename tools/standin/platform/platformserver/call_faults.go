package platformserver

import "time"

// callFaults holds the faults to inject into one request.
type callFaults struct {
	delay        time.Duration
	cut          bool
	down         bool
	loseResponse bool
	drop         bool
}
