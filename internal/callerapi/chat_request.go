package callerapi

import "siskintide.example/siskintide/internal/core"

// chatBody is the body of POST /v1/chat/completions. Members that it does not name are ignored.
type chatBody struct {
	Model               core.ModelID   `json:"model"`
	Messages            []chatMessage  `json:"messages"`
	MaxTokens           *core.Tokens   `json:"max_tokens"`
	MaxCompletionTokens *core.Tokens   `json:"max_completion_tokens"`
	Seed                *uint64        `json:"seed"`
	Stream              bool           `json:"stream"`
	StreamOptions       *streamOptions `json:"stream_options"`
	N                   *int           `json:"n"`
}
