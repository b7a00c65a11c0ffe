package settings

import "time"

// Timing holds the spans of time that operators may set; absent ones have defaults.
type Timing struct {
	Lease         Duration `json:"lease"`          // lifetime of a host's ownership lease
	ClockMargin   Duration `json:"clock_margin"`   // added before a lapsed lease is taken over
	Heartbeat     Duration `json:"heartbeat"`      // between heartbeats to peers
	ConfigPoll    Duration `json:"config_poll"`    // between reads of the accepted revision
	PlatformCall  Duration `json:"platform_call"`  // longest call to the platform
	ShutdownGrace Duration `json:"shutdown_grace"` // longest graceful shutdown
}

// platformCallParts is how many calls to the platform a lease lasts at least. A renewal is
// due after a third of the lease; one that is never answered has to end early enough for
// hosts to tell each other that the platform is away, or they stop serving with the lease.
const platformCallParts = 5

// withPlatformCall fills in the longest call to the platform if none is given.
func (t Timing) withPlatformCall() Timing {
	if t.PlatformCall == 0 {
		t.PlatformCall = t.Lease / platformCallParts
	}
	return t
}

// DefaultTiming returns the spans that hold when a settings file gives none.
func DefaultTiming() Timing {
	timing := Timing{
		Lease:         Duration(10 * time.Second),
		ClockMargin:   Duration(2 * time.Second),
		Heartbeat:     Duration(time.Second),
		ConfigPoll:    Duration(2 * time.Second),
		ShutdownGrace: Duration(10 * time.Minute),
	}
	return timing.withPlatformCall()
}
