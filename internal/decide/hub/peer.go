package hub

import "time"

// peer is the state of a host that may be the hub.
type peer struct {
	linked            bool
	waitingSince      time.Duration // when the first unanswered request was sent
	waiting           bool          // there is an unanswered request
	lastRequest       time.Duration
	provenAt          time.Duration // latest time at which the peer's data was proven to be current
	proven            bool
	avoidUntil        time.Duration
	outdatedResponses int // in a row, without recent data
}

// avoid keeps the peer from being the hub for a while after a failure.
func (p *peer) avoid(now time.Duration) {
	p.avoidUntil = now + avoidPeriod
	p.waiting, p.proven, p.outdatedResponses = false, false, 0
}
