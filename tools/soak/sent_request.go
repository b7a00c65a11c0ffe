package main

import "time"

// sent is one request that a client has sent.
type sent struct {
	id     string
	key    string
	once   bool // must not run more than once
	stream bool
	at     time.Time
	ended  time.Time
	kind   answerKind
}
