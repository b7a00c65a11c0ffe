package main

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// request is one caller's generation. Its output length is known to the bench alone, and
// to the clairvoyant policy.
type request struct {
	index     int
	arrival   time.Duration
	team      core.TeamID
	class     core.Class
	prompt    int // tokens
	output    int // tokens
	engine    int
	sentAt    time.Duration
	firstAt   time.Duration // zero until the first token
	lastAt    time.Duration
	delivered int // tokens that the caller has
	worstGap  time.Duration
	stall     time.Duration
	refused   bool
	doneAt    time.Duration // zero until the last token
}
