package main

import "time"

// event is an action scheduled for a point in simulated time.
type event struct {
	at       time.Duration
	sequence uint64 // breaks ties by the order of scheduling
	action   func()
}
