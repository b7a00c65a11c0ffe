package cluster

// Timing is the timing section of the hosts' settings, as durations with units.
type Timing struct {
	Lease         string
	ClockMargin   string
	ShutdownGrace string
}

// FastTiming makes take-overs quick enough for a demo.
func FastTiming() Timing {
	return Timing{Lease: "3s", ClockMargin: "500ms", ShutdownGrace: "30s"}
}

// ProductionTiming is what hosts use by default.
func ProductionTiming() Timing {
	return Timing{Lease: "10s", ClockMargin: "1s", ShutdownGrace: "30s"}
}
