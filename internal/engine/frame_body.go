package engine

import "siskintide.example/siskintide/internal/core"

// frameBody is the encoded form of a frame.
type frameBody struct {
	ID       core.GenerationID `json:"id"`
	Choices  []choiceBody      `json:"choices"`
	Sequence core.Sequence     `json:"sequence"`
}
