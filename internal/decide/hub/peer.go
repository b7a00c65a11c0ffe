package hub

import "time"

// maxDoublings is the number of doublings after which an avoid period is at its maximum.
const maxDoublings = 3

// peer is the state of a host that may be the hub.
type peer struct {
	linked       bool
	waitingSince time.Duration // when the first unanswered request was sent
	waiting      bool          // there is an unanswered request
	lastRequest  time.Duration
	provenAt     time.Duration // latest time at which the peer's data was proven to be current
	proven       bool
	avoidUntil   time.Duration
	failures     int // times that it was avoided since its data was last proven to be current
}

// avoid keeps the peer from being the hub for a while after a failure.
func (p *peer) avoid(now time.Duration) {
	p.avoidUntil = now + min(avoidPeriod<<min(p.failures, maxDoublings), maxAvoidPeriod)
	p.failures++
	p.waiting, p.proven = false, false
}
