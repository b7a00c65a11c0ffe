package relay

import "siskintide.example/siskintide/internal/core"

// EventID is the decoded id of an event. It identifies a token of a stream and holds what
// is needed to resume or rerun the stream after it.
type EventID struct {
	Generation  core.GenerationID
	Target      core.TargetID
	Incarnation core.Incarnation
	Seed        uint64
	RequestHash uint64 // hash of the request's parameters; a repeated request must match it
	Sequence    core.Sequence
	Digest      uint64 // chained hash of all tokens up to Sequence
	Chat        bool   // the events are chunks of a chat completion
	Final       bool   // the event is the last one of the answer
}
