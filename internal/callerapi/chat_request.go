package callerapi

import "siskintide.example/siskintide/internal/core"

// chatRequest is the body of POST /v1/chat/completions. Unknown members are ignored.
type chatRequest struct {
	Model               core.ModelID   `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           *core.Tokens   `json:"max_tokens"`
	MaxCompletionTokens *core.Tokens   `json:"max_completion_tokens"`
	Seed                *uint64        `json:"seed"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	N                   *int           `json:"n"`
}
