package relay

import "siskintide.example/siskintide/internal/core"

// EventID is what an event id says: where a stream stands and what a resumption or
// a rerun of it needs.
type EventID struct {
	Generation  core.GenerationID
	Target      core.TargetID
	Incarnation core.Incarnation
	Seed        uint64
	RequestHash uint64 // hash of the request's parameters; a repeated request must match it
	Sequence    core.Sequence
	Digest      uint64 // chained hash of all tokens up to Sequence
	Chat        bool   // the events are chunks of a chat completion
	Final       bool   // the caller has the whole answer
}
