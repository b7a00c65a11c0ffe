package rerun

import "siskintide.example/siskintide/internal/core"

// Event is something that happened to a stream.
type Event struct {
	Kind           EventKind
	Connection     ConnectionID      // all kinds except EventReclaim and EventStalled
	Generation     core.GenerationID // EventStarted, EventFrame, EventReclaim
	Sequence       core.Sequence     // EventFrame
	Digest         uint64            // EventFrame: hash of the token's text and finish reason
	Final          bool              // EventFrame: the generation's last token
	MayHaveReached bool              // EventLost: bytes of the request may have reached the target
}
