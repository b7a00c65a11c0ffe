package platformserver

import "time"

// callFaults holds the faults to inject into one request.
type callFaults struct {
	delay        time.Duration // of FaultSlow; zero means none
	cut          bool
	down         bool
	loseResponse bool // of FaultLoseAnswer; only for a write
	drop         bool // only for a write
}
