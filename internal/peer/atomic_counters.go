package peer

import "sync/atomic"

// meter holds the running counts of a node. It is safe for concurrent use.
type meter struct {
	bytesIn, bytesOut       atomic.Uint64
	messagesIn, messagesOut atomic.Uint64
	unknownKinds, malformed atomic.Uint64
	dropped, refused        atomic.Uint64
}

func (m *meter) read() Counters {
	return Counters{
		BytesIn:      m.bytesIn.Load(),
		BytesOut:     m.bytesOut.Load(),
		MessagesIn:   m.messagesIn.Load(),
		MessagesOut:  m.messagesOut.Load(),
		UnknownKinds: m.unknownKinds.Load(),
		Malformed:    m.malformed.Load(),
		Dropped:      m.dropped.Load(),
		Refused:      m.refused.Load(),
	}
}
