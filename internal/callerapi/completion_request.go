package callerapi

import "siskintide.example/siskintide/internal/core"

// completionRequest is the body of POST /v1/completions. Unknown members are ignored.
type completionRequest struct {
	Model         core.ModelID   `json:"model"`
	Prompt        string         `json:"prompt"`
	MaxTokens     *core.Tokens   `json:"max_tokens"`
	Seed          *uint64        `json:"seed"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             *int           `json:"n"`
}
