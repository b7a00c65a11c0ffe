package main

import "time"

// options are the settings of a run.
type options struct {
	Daemon   string
	Dir      string
	Seed     uint64
	Duration time.Duration
	Hosts    int
	Engines  int
	Services int
}
