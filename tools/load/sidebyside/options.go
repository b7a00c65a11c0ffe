package main

import "time"

// options says what is started and how much is sent to it.
type options struct {
	programs    string // directory of the built programs
	out         string // directory for the reports; empty means none
	hosts       int
	engines     int
	coldStreams int // that the engines bear while cold, as declared too
	rate        float64
	duration    time.Duration
	rounds      int
	seed        uint64
}
