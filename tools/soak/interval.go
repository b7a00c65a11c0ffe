package main

import "time"

// interval is the period in which a fault was active.
type interval struct {
	start, end time.Time
}
