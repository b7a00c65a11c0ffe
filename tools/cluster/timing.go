package cluster

// Timing is the timing section of the hosts' settings, as durations with units.
type Timing struct {
	Lease         string
	ClockMargin   string
	ShutdownGrace string
}

// FastTiming returns a timing that makes takeovers quick enough for a demo.
func FastTiming() Timing {
	return Timing{Lease: "3s", ClockMargin: "500ms", ShutdownGrace: "30s"}
}

// ProductionTiming returns the default timing of hosts.
func ProductionTiming() Timing {
	return Timing{Lease: "10s", ClockMargin: "1s", ShutdownGrace: "30s"}
}
