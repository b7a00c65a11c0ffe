package main

import "time"

// event is something that happens at a moment of simulated time.
type event struct {
	at    time.Duration
	order uint64 // breaks ties by the order of scheduling
	do    func()
}
