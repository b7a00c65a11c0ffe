package settings

import "time"

// Timing holds the durations that operators may set. Those left out have defaults.
type Timing struct {
	Lease         Duration `json:"lease"`          // lifetime of a host's ownership lease
	ClockMargin   Duration `json:"clock_margin"`   // wait after the expiry of a lease before it is taken over
	Heartbeat     Duration `json:"heartbeat"`      // interval between heartbeats to peers
	ConfigPoll    Duration `json:"config_poll"`    // interval between reads of the accepted revision
	PlatformCall  Duration `json:"platform_call"`  // timeout of a call to the platform
	ShutdownGrace Duration `json:"shutdown_grace"` // maximum duration of a graceful shutdown
}

// minCallsPerLease is the minimum ratio of the lease to the timeout of a call to the platform.
// A renewal starts after a third of the lease. If it gets no response, it has to time out early
// enough for hosts to report to each other that the platform is unavailable; otherwise they
// stop serving when the lease expires.
const minCallsPerLease = 5

// withDefaultPlatformCall sets PlatformCall to its default if it is 0.
func (t Timing) withDefaultPlatformCall() Timing {
	if t.PlatformCall == 0 {
		t.PlatformCall = t.Lease / minCallsPerLease
	}
	return t
}

// DefaultTiming returns the durations that apply when a settings file gives none.
func DefaultTiming() Timing {
	timing := Timing{
		Lease:         Duration(10 * time.Second),
		ClockMargin:   Duration(2 * time.Second),
		Heartbeat:     Duration(time.Second),
		ConfigPoll:    Duration(2 * time.Second),
		ShutdownGrace: Duration(10 * time.Minute),
	}
	return timing.withDefaultPlatformCall()
}
