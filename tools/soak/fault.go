package main

import "time"

// fault is something that goes wrong for a while.
type fault struct {
	name  string
	begin func()
	end   func() // nil if there is nothing to undo
	long  time.Duration
	// blinds says that hosts may miss what the store tells, or that a connection may be
	// silent, so that bounds in time don't hold for a while.
	blinds bool
}
