package main

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// request is one generation of a caller. Only the simulation and the clairvoyant policy use
// its output length before it has ended.
type request struct {
	index        int // in the list of arrivals
	arrival      time.Duration
	team         core.TeamID
	class        core.Class
	prompt       int // tokens
	output       int // tokens
	engine       int // index of the engine that runs it
	sentAt       time.Duration
	firstTokenAt time.Duration // zero until the first token
	lastTokenAt  time.Duration
	delivered    int           // tokens delivered to the caller
	worstGap     time.Duration // largest token gap
	stall        time.Duration // sum of the excess of each token gap over the bound
	refused      bool
	completedAt  time.Duration // zero until the last token
}
