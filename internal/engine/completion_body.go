package engine

import "siskintide.example/siskintide/internal/core"

// completionBody is the encoded form of a request for a new stream.
type completionBody struct {
	Model     core.ModelID  `json:"model"`
	Prompt    string        `json:"prompt"`
	MaxTokens core.Tokens   `json:"max_tokens,omitempty"`
	Seed      uint64        `json:"seed"`
	Priority  core.Priority `json:"priority"`
	Stream    bool          `json:"stream"`
	RequestID string        `json:"request_id"`
}
