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

// DefaultTiming returns the spans that hold when a settings file gives none.
func DefaultTiming() Timing {
	return Timing{
		Lease:         Duration(10 * time.Second),
		ClockMargin:   Duration(2 * time.Second),
		Heartbeat:     Duration(time.Second),
		ConfigPoll:    Duration(2 * time.Second),
		PlatformCall:  Duration(2 * time.Second),
		ShutdownGrace: Duration(10 * time.Minute),
	}
}
