package main

import (
	"slices"
	"strings"
	"time"
)

// answer is what a caller received of one generation.
type answer struct {
	began  time.Time
	tokens []token
	done   bool
	failed string // error event, if there was one
}

// text joins the tokens.
func (a *answer) text() string {
	var text strings.Builder
	for _, t := range a.tokens {
		text.WriteString(t.text)
	}
	return text.String()
}

// firstToken returns the time from the request to the first token.
func (a *answer) firstToken() time.Duration {
	if len(a.tokens) == 0 {
		return 0
	}
	return a.tokens[0].at.Sub(a.began)
}

// gap returns a quantile of the times between tokens, from 0 to 1.
func (a *answer) gap(quantile float64) time.Duration {
	var gaps []time.Duration
	for i := 1; i < len(a.tokens); i++ {
		gaps = append(gaps, a.tokens[i].at.Sub(a.tokens[i-1].at))
	}
	if len(gaps) == 0 {
		return 0
	}
	slices.Sort(gaps)
	return gaps[int(quantile*float64(len(gaps)-1))]
}
