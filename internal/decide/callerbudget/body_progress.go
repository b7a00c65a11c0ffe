package callerbudget

import "time"

const (
	// BodyPause is how long a body may pause, at its beginning too, before it is too slow. Bodies of ordinary callers
	// arrive with their heads, or soon after.
	BodyPause = 2 * time.Second
	// minBodyRate is the rate in bytes a second below which a body is too slow. 300 uploads at once over the slowest
	// network, 10 Mbit/s, have 4,166 bytes a second each.
	minBodyRate = 4 << 10
)

// BodyProgress is how far the body of a request has arrived.
type BodyProgress struct {
	Due      time.Duration // when the body becomes too slow if nothing more arrives
	Received int64         // bytes
}

// BeginBody returns the progress of a body that begins, or that its reader takes up again after the host has held it back.
func BeginBody(now time.Duration, received int64) BodyProgress {
	return BodyProgress{Due: now + BodyPause, Received: received}
}

// Receive returns the progress after n more bytes. Each byte is worth its time at minBodyRate, and a body cannot save up more
// than BodyPause, so that it is too slow soon after it has stopped, whatever has arrived before.
func (p BodyProgress) Receive(now time.Duration, n int64) BodyProgress {
	worth := time.Duration(n) * time.Second / minBodyRate
	return BodyProgress{Due: min(p.Due+worth, now+BodyPause), Received: p.Received + n}
}

// TooSlow reports whether the body may be given up while memory is short.
func (p BodyProgress) TooSlow(now time.Duration) bool { return now >= p.Due }

// GoesBefore reports whether of two bodies that are too slow this one is given up first: the one of which more has arrived, as it
// returns more memory, and then the one that has been too slow for longer.
func (p BodyProgress) GoesBefore(other BodyProgress) bool {
	if p.Received != other.Received {
		return p.Received > other.Received
	}
	return p.Due < other.Due
}
