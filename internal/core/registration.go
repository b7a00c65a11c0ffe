package core

import "time"

// Registration is what a target says of itself in the registry.
type Registration struct {
	Target     TargetID
	Pool       PoolID
	Address    string // IP and port
	DataCentre DataCentreID
	Slots      int
	Leaving    bool
	ColdLeft   time.Duration // how much longer the target is cold, as of the registration
	Born       int64         // Unix milliseconds of the target's start; zero if unknown
	Revision   uint64        // of the registry's row
}
