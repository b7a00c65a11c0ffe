package engine

import "siskintide.example/siskintide/internal/core"

// Request is what an engine needs to generate an answer, besides the ticket.
type Request struct {
	Model     core.ModelID
	Prompt    string
	MaxTokens core.Tokens
	Seed      uint64
}
