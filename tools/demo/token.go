package main

import "time"

// token is one token event of a stream.
type token struct {
	id   string // event id, which resumes the stream after this token
	text string
	at   time.Time
}
