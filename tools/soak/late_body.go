package main

import (
	"io"
	"strings"
	"time"
)

// lateBody is a request body whose last byte comes after a pause, as from a caller with a slow uplink.
type lateBody struct {
	parts []string
	pause time.Duration
	rest  io.Reader
}

// newLateBody returns a body with the given text.
func newLateBody(text string, pause time.Duration) *lateBody {
	last := len(text) - 1
	return &lateBody{parts: []string{text[:last], text[last:]}, pause: pause, rest: strings.NewReader("")}
}

// Read implements io.Reader.
func (b *lateBody) Read(p []byte) (int, error) {
	n, err := b.rest.Read(p)
	if err != io.EOF || len(b.parts) == 0 {
		return n, err
	}
	if len(b.parts) == 1 {
		<-time.After(b.pause)
	}
	b.rest, b.parts = strings.NewReader(b.parts[0]), b.parts[1:]
	return b.rest.Read(p)
}
