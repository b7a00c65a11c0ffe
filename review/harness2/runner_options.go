package main

import "time"

// runnerOptions configure a stand-in of a runner.
type runnerOptions struct {
	listen, id string
	engine     bool
	unframed   bool          // answers have neither a length nor chunks
	size       int           // of the body of a call's answer
	pieces     int           // in which that body is written, evenly over work
	work       time.Duration // for a call, or between two events
	slots      int
	keepCopies bool   // hold copies of other runners' generations, and resume from them
	deadlyPart string // part of a prompt under which the runner crashes as it begins to answer; empty for none
	loses      int    // per cent of the runs whose answers are lost
}
