package relay

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// StreamRequest is a caller's request for a stream, new or resumed.
type StreamRequest struct {
	TicketRequest core.TicketRequest // Generation and Avoid are set by the relay
	Request       engine.Request     // parameters of the generation, the same for every rerun
	Resume        *ResumePoint       // nil for a new request
	Rerunnable    bool               // Request is set, so that the generation can be rerun
	Resumable     bool               // the caller gets event ids, with which it can resume the stream
}
