package callerapi

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// generationRequest is a validated request for a completion or a chat completion.
type generationRequest struct {
	model         *core.Model
	engineRequest engine.Request
	hash          uint64 // hash of the parameters given by the caller
	chat          bool
	stream        bool
	includeUsage  bool
}
