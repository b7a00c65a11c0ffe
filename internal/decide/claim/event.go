package claim

import "siskintide.example/siskintide/internal/core"

// Event is something that happened to a call.
type Event struct {
	Kind    EventKind
	Version uint64        // EventRead: version of the row; zero when it does not exist
	Record  Record        // EventRead
	Refusal *core.Refusal // EventRefused, EventUnsent: what to tell the caller
}
