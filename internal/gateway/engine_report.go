package gateway

import "time"

// EngineReport is what an engine says of itself. It may be half a second old.
type EngineReport struct {
	Leaving     bool
	LeavesKnown bool // LeavesIn is valid
	LeavesIn    time.Duration
}
