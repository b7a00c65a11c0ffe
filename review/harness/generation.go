package main

import "sync"

// generation is one run of an engine.
type generation struct {
	id      string // of the request
	runner  string
	backup  string // address of the runner that keeps a copy; empty for none
	once    sync.Once
	stop    chan struct{} // closed to stop the run
	stopped chan struct{} // closed when the run has stopped
}
