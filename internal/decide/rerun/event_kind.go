package rerun

// EventKind tells what happened.
type EventKind uint8

const (
	// EventStarted means that a target has accepted the generation on this connection.
	EventStarted EventKind = iota + 1
	// EventFrame means that one token arrived on a connection.
	EventFrame
	// EventDisconnected means that a connection ended early; the target may still run the generation.
	EventDisconnected
	// EventGenerationLost means that the generation cannot be read any more: the target refused it,
	// died or has forgotten it.
	EventGenerationLost
	// EventRefused means that no ticket, or no retry budget, was to be had for a connection.
	EventRefused
	// EventReclaim means that the target of a generation will stop soon.
	EventReclaim
	// EventStalled means that no new token has come for too long.
	EventStalled
)
