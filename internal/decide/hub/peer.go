package hub

import "time"

// peer is the state of a host that may be the hub.
type peer struct {
	linked       bool
	waitingSince time.Duration // when the first unanswered request was sent
	waiting      bool          // there is an unanswered request
	lastRequest  time.Duration
	provenAt     time.Duration // latest time at which the peer's data was proven to be current
	proven       bool
	avoidUntil   time.Duration
}
