package main

import (
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// event is one scheduled fault or operator's change in a drill.
type event struct {
	at          time.Duration // since the start of the load
	description string        // for the report
	action      func(d *cluster.Deployment) error
}
