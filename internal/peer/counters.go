package peer

// Counters holds the totals over all links of a node since New. Bytes are counted for
// frames, without the headers of WebSocket, TCP and IP.
type Counters struct {
	BytesIn          uint64
	BytesOut         uint64
	MessagesIn       uint64
	MessagesOut      uint64
	UnknownKinds     uint64 // frames of a kind that this version cannot decode
	MalformedFrames  uint64 // frames that could not be decoded
	Dropped          uint64 // messages that were not queued, could not be encoded or were too large to send
	FailedHandshakes uint64 // incoming connections whose upgrade or handshake failed
}
