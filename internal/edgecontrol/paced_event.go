package edgecontrol

import "time"

// pacedEvent reports the mean pause between the first events of a stream.
type pacedEvent struct {
	ticket rolloutTicket
	pause  time.Duration
}

func (e pacedEvent) apply(s *state) { s.countPause(e.ticket, e.pause) }
