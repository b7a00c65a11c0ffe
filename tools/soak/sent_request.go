package main

import "time"

// sentRequest is one request that a client has sent, with its outcome.
type sentRequest struct {
	id         string
	key        string
	atMostOnce bool // must not run more than once
	stream     bool
	sentAt     time.Time
	endedAt    time.Time
	outcome    outcome
}
