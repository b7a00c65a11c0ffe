package rerun

import "siskintide.example/siskintide/internal/core"

// Event is an input of the state machine of a stream.
type Event struct {
	Kind           EventKind
	Connection     ConnectionID      // all kinds except EventReclaim and EventStalled
	Generation     core.GenerationID // EventStarted, EventFrame, EventReclaim
	Sequence       core.Sequence     // EventFrame
	Digest         uint64            // EventFrame: hash of the token's text and finish reason
	Final          bool              // EventFrame: the token is the generation's last
	MayHaveReached bool              // EventGenerationLost: bytes of the request may have reached the target
}
