package callerapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// generation is one checked request for an answer.
type generation struct {
	model        *core.Model
	request      engine.Request
	hash         uint64 // of the parameters that the caller gave
	chat         bool
	stream       bool
	includeUsage bool
}
