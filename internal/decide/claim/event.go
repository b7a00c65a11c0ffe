package claim

import "siskintide.example/siskintide/internal/core"

// Event is an input of the state machine of a call.
type Event struct {
	Kind    EventKind
	Version uint64        // EventRead: version of the row; zero when it does not exist
	Record  Record        // EventRead
	Refusal *core.Refusal // EventRefused, EventUnsent: the answer to the caller
}
