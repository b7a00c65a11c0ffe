package peer

import "sync/atomic"

// atomicCounters holds the current values of Counters. It is safe for concurrent use.
type atomicCounters struct {
	bytesIn, bytesOut             atomic.Uint64
	messagesIn, messagesOut       atomic.Uint64
	unknownKinds, malformedFrames atomic.Uint64
	dropped, failedHandshakes     atomic.Uint64
}

func (c *atomicCounters) snapshot() Counters {
	return Counters{
		BytesIn:          c.bytesIn.Load(),
		BytesOut:         c.bytesOut.Load(),
		MessagesIn:       c.messagesIn.Load(),
		MessagesOut:      c.messagesOut.Load(),
		UnknownKinds:     c.unknownKinds.Load(),
		MalformedFrames:  c.malformedFrames.Load(),
		Dropped:          c.dropped.Load(),
		FailedHandshakes: c.failedHandshakes.Load(),
	}
}
