package gateway

// upstreamMessageKind is the kind of an upstreamMessage.
type upstreamMessageKind uint8

const (
	// upstreamOpened carries the metadata of the target's response, and the complete response
	// if it is not a stream.
	upstreamOpened upstreamMessageKind = iota + 1
	// upstreamEvent carries an event of the stream.
	upstreamEvent
	// upstreamEnded means that the stream ended without an error.
	upstreamEnded
	// upstreamFailed means that the exchange failed.
	upstreamFailed
)
