package loadgen

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// gapBound is the time between two tokens beyond which a caller counts as stalled.
	gapBound = 77 * time.Millisecond
	// firstTokenBound is the time in which the first token is due.
	firstTokenBound = 770 * time.Millisecond
)

// Options says what is sent where. Rate selects the open loop, Concurrency the closed one.
type Options struct {
	Addresses    []string      // IP and port of entry hosts, or of engines if Direct
	Direct       bool          // talk to engines, and check sequence numbers
	Engines      []string      // engines whose load reports give the preemptions
	Callers      []Caller      // at least one
	Model        core.ModelID  // asked for in every request
	CheckVersion string        // of the stand-ins' model, to check every token; empty means no check
	Rate         float64       // requests a second with exponential gaps; zero means the closed loop
	Concurrency  int           // requests at once in the closed loop
	Duration     time.Duration // no request begins later; zero means no bound
	Count        int           // requests in all; zero means no bound
	DrainTimeout time.Duration // time for running requests to end after the last one began
	MaxTokens    core.Tokens   // bound of each answer
	AnswerLength int           // length of each answer; zero means long-tailed lengths
	PromptBytes  int           // median length of prompts, which are long-tailed
	MaxResumes   int           // how often a broken stream is resumed at another address
	Seed         uint64
}

// check reports the first option that cannot work.
func (o Options) check() error {
	switch {
	case len(o.Addresses) == 0:
		return &OptionError{Option: "url", Reason: "at least one is needed"}
	case len(o.Callers) == 0:
		return &OptionError{Option: "caller", Reason: "at least one is needed"}
	case (o.Rate > 0) == (o.Concurrency > 0):
		return &OptionError{Option: "rate", Reason: "exactly one of rate and concurrency is needed"}
	case o.Duration == 0 && o.Count == 0:
		return &OptionError{Option: "duration", Reason: "a duration or a count is needed"}
	}
	return nil
}
