package main

import (
	"time"

	"siskintide.example/siskintide/tools/cluster"
)

// event is one fault or change of a drill.
type event struct {
	at   time.Duration // after the beginning of the load
	what string
	do   func(d *cluster.Deployment) error
}
