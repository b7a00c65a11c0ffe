package main

import "time"

// engineRun is one run of a request at an engine, from its first token on.
type engineRun struct {
	id, engine   string
	began, ended time.Time // ended is zero while it goes on
	stop         chan struct{}
	last         int64 // event
}
