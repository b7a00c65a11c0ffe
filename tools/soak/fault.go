package main

import "time"

// fault is an injected fault. It lasts for duration if end is set.
type fault struct {
	name     string
	start    func()
	end      func() // nil if there is nothing to undo
	duration time.Duration
	// suspendsTimeBounds is set if hosts may miss updates of the store, or if a connection
	// may be silent, so that time bounds don't hold during and shortly after the fault.
	suspendsTimeBounds bool
	// breaks is the host or the target that may lose requests by the fault; empty if none may.
	breaks string
}
