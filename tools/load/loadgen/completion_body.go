package loadgen

import "siskintide.example/siskintide/internal/core"

// completionBody is the body of a request to a host.
type completionBody struct {
	Model     core.ModelID `json:"model"`
	Prompt    string       `json:"prompt"`
	MaxTokens core.Tokens  `json:"max_tokens,omitempty"`
	Seed      uint64       `json:"seed"`
	Stream    bool         `json:"stream"`
}
