package freshness

import "time"

// Proof is the latest time at which the host's data is known to have been current. The
// zero value means that there is no such time.
type Proof struct {
	asOf  time.Duration
	known bool
}

// Renew returns the proof after a linearizable read that was sent at the given time and
// whose response was complete. A response that arrives after that to a later read changes
// nothing.
func (p Proof) Renew(sentAt time.Duration) Proof {
	if p.known && sentAt <= p.asOf {
		return p
	}
	return Proof{asOf: sentAt, known: true}
}

// Age returns an upper bound on the age of the data, and whether there is one. It is zero
// if now is before the proof.
func (p Proof) Age(now time.Duration) (time.Duration, bool) {
	return max(now-p.asOf, 0), p.known
}

// Within reports whether the data is proven to be no older than the bound.
func (p Proof) Within(now, bound time.Duration) bool {
	age, known := p.Age(now)
	return known && age <= bound
}
