package gateway

// signalKind says what a source tells.
type signalKind uint8

const (
	// sourceOpened brings the header of the target's answer.
	sourceOpened signalKind = iota + 1
	// sourceEvent brings an event of the stream.
	sourceEvent
	// sourceEnded means that the target ended the stream as complete.
	sourceEnded
	// sourceFailed means that the exchange failed.
	sourceFailed
)
