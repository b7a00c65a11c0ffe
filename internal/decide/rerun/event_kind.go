package rerun

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventStarted means that a target has accepted the generation on this connection.
	EventStarted EventKind = iota + 1
	// EventFrame means that one token arrived on a connection.
	EventFrame
	// EventDisconnected means that a connection ended early; the generation may still be running.
	EventDisconnected
	// EventGenerationLost means that the generation can no longer be read: the target
	// refused it, crashed or no longer has it.
	EventGenerationLost
	// EventRefused means that no ticket or no retry budget was available for a connection.
	EventRefused
	// EventReclaim means that the target of a generation is about to stop.
	EventReclaim
	// EventStalled means that no new token has arrived for too long.
	EventStalled
)
