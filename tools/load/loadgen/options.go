package loadgen

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// gapBound is the longest time between two tokens for which a caller does not count as
	// stalled. The excess of a longer gap is stall time.
	gapBound = 77 * time.Millisecond
	// firstTokenBound is the time within which the first token is due.
	firstTokenBound = 770 * time.Millisecond
)

// Options describes the load of a run. Rate selects an open loop, Concurrency a closed loop.
type Options struct {
	Addresses    []string      // IP and port of hosts, or of engines if Direct
	Direct       bool          // send requests directly to engines and check sequence numbers
	Engines      []string      // engines whose load reports are polled for preemptions and restarts
	Callers      []Caller      // at least one
	Model        core.ModelID  // model named in every request
	CheckVersion string        // model version of the stand-ins, against which every token is checked; empty means no check
	Rate         float64       // requests a second with exponential interarrival times; zero means the closed loop
	Concurrency  int           // concurrent requests in the closed loop
	Duration     time.Duration // no request starts after this time; zero means no bound
	Count        int           // total number of requests; zero means no bound
	DrainTimeout time.Duration // how long requests may run on after the last one was started
	MaxTokens    core.Tokens   // limit on the tokens of each response
	AnswerLength int           // tokens of each response; zero means long-tailed lengths
	PromptBytes  int           // median length of prompts, which are long-tailed
	MaxResumes   int           // how often a broken stream may be resumed at the next address
	Seed         uint64
}

// check returns an *OptionError for the first invalid option.
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
