package main

import (
	"slices"
	"strings"
	"time"
)

// streamResult is what a client received of one generation.
type streamResult struct {
	startedAt time.Time
	tokens    []token
	done      bool
	failure   string // error event or error of the request; empty if there was none
}

// text returns the concatenated tokens.
func (r *streamResult) text() string {
	var text strings.Builder
	for _, t := range r.tokens {
		text.WriteString(t.text)
	}
	return text.String()
}

// timeToFirstToken returns the time from the request to the first token.
func (r *streamResult) timeToFirstToken() time.Duration {
	if len(r.tokens) == 0 {
		return 0
	}
	return r.tokens[0].at.Sub(r.startedAt)
}

// tokenGap returns a quantile, from 0 to 1, of the times between tokens.
func (r *streamResult) tokenGap(quantile float64) time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(r.tokens); i++ {
		gaps = append(gaps, r.tokens[i].at.Sub(r.tokens[i-1].at))
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[int(quantile*float64(len(gaps)-1))]
}
