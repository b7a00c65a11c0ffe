package engine

import "siskintide.example/siskintide/internal/core"

// streamBody is the encoded form of one stream in a load report.
type streamBody struct {
	ID      core.GenerationID `json:"id"`
	Context core.Tokens       `json:"context"`
}
