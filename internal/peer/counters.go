package peer

// Counters counts what all links of a node have carried since it was made. Bytes are
// those of frames, without the headers of WebSocket, TCP and IP.
type Counters struct {
	BytesIn      uint64
	BytesOut     uint64
	MessagesIn   uint64
	MessagesOut  uint64
	UnknownKinds uint64 // frames of a kind that this version does not know
	Malformed    uint64 // frames that could not be decoded
	Dropped      uint64 // messages that were not queued, or that were too large to send
	Refused      uint64 // handshakes that failed
}
