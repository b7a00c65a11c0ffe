package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Request is what the headers of a caller's request say.
type Request struct {
	ID           string
	APIKey       string        // API key; empty if there is none
	Timeout      time.Duration // for which the caller waits; zero if it does not say
	PromptTokens core.Tokens
	MaxTokens    core.Tokens // most output tokens; zero if it does not say
	LengthHint   core.Tokens // caller's estimate of the output tokens; zero if there is none
}

// Output forecasts the output of the generation.
func (r *Request) Output() core.Tokens {
	switch {
	case r.LengthHint > 0 && r.MaxTokens > 0:
		return min(r.LengthHint, r.MaxTokens)
	case r.LengthHint > 0:
		return r.LengthHint
	default:
		return r.MaxTokens
	}
}
