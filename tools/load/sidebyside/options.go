package main

import "time"

// options describes the deployments to start and the load to generate.
type options struct {
	binDir      string // directory of the built programs
	outDir      string // directory for the reports; empty means that none are written
	hosts       int
	engines     int
	coldStreams int           // streams that a cold engine can serve; also the declared limit
	rate        float64       // requests a second
	duration    time.Duration // of each run
	rounds      int           // pairs of runs, relayed and direct
	seed        uint64
}
