package engine

import "siskintide.example/siskintide/internal/core"

// Request holds the parameters of a generation that are not in its ticket.
type Request struct {
	Model     core.ModelID
	Prompt    string
	MaxTokens core.Tokens
	Seed      uint64
}
