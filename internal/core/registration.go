package core

import "time"

// Registration is a target's entry in the registry, written by the target.
type Registration struct {
	Target     TargetID
	Pool       PoolID
	Address    string // IP and port
	DataCentre DataCentreID
	Slots      int
	Leaving    bool
	ColdLeft   time.Duration // remaining time for which the target is cold, as of the registration
	Version    Version       `cbor:",omitempty"` // of the software that the target runs
	Born       int64         // start of the target in Unix milliseconds; zero if unknown
	Revision   uint64        // revision of the registry's row
	Era        uint64        // of the store, in which Revision counts
}

// Position returns the position of the registry's row.
func (r Registration) Position() StorePosition {
	return StorePosition{Era: r.Era, Revision: r.Revision}
}
