package callerapi

import "siskintide.example/siskintide/internal/core"

// completionBody is the body of POST /v1/completions. Members that it does not name are ignored.
type completionBody struct {
	Model         core.ModelID   `json:"model"`
	Prompt        string         `json:"prompt"`
	MaxTokens     *core.Tokens   `json:"max_tokens"`
	Seed          *uint64        `json:"seed"`
	Stream        bool           `json:"stream"`
	StreamOptions *streamOptions `json:"stream_options"`
	N             *int           `json:"n"`
}
