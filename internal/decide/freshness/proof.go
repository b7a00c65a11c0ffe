package freshness

import "time"

// Proof is the latest moment of which the host knows that its knowledge was the newest.
// The zero value proves nothing.
type Proof struct {
	asOf  time.Duration
	known bool
}

// Renew returns the proof after a linearizable read that was sent at the given moment and
// answered in full. An answer that arrives after that of a later read changes nothing.
func (p Proof) Renew(sentAt time.Duration) Proof {
	if p.known && sentAt <= p.asOf {
		return p
	}
	return Proof{asOf: sentAt, known: true}
}

// Age returns how old the knowledge may be at most. It is false if nothing is proved. A
// moment before the proof gives zero.
func (p Proof) Age(now time.Duration) (time.Duration, bool) {
	return max(now-p.asOf, 0), p.known
}

// Within reports whether the knowledge is proved to be at most as old as the bound.
func (p Proof) Within(now, bound time.Duration) bool {
	age, known := p.Age(now)
	return known && age <= bound
}
