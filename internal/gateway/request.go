package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Request is the decoded header of a caller's request.
type Request struct {
	ID           string
	APIKey       string        // empty if there is none
	Timeout      time.Duration // time that the caller waits; zero if not given
	PromptTokens core.Tokens
	MaxTokens    core.Tokens // maximum of output tokens; zero if not given
	LengthHint   core.Tokens // caller's estimate of the output tokens; zero if not given
	PromptParts  []string    // ids of the parts of the prompt that other requests may share, in order
}

// ForecastTokens returns the expected number of output tokens: the caller's estimate, at
// most MaxTokens, or MaxTokens if there is no estimate.
func (r *Request) ForecastTokens() core.Tokens {
	switch {
	case r.LengthHint > 0 && r.MaxTokens > 0:
		return min(r.LengthHint, r.MaxTokens)
	case r.LengthHint > 0:
		return r.LengthHint
	default:
		return r.MaxTokens
	}
}
