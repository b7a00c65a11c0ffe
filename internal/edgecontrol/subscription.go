package edgecontrol

import "time"

// firstUpdateTimeout is the time after which the first update of a subscription is requested
// again. It must exceed the time that a slow link takes for a large configuration, because a
// repeated update delays all that follows it.
const firstUpdateTimeout = 2 * time.Second

// subscription is the state of this host's subscription to its hub.
type subscription struct {
	number       uint64        // sent in each request; a new number makes the hub send a first update
	since        time.Duration // when the subscription began
	lastReceived uint64        // number of the last update received; zero before the first update
}

// renew begins a new subscription. Updates are ignored until its first one has arrived.
func (s *subscription) renew(now time.Duration) {
	*s = subscription{number: s.number + 1, since: now}
}

// renewIfOverdue begins a new subscription if the first update has not arrived in time.
func (s *subscription) renewIfOverdue(now time.Duration) {
	if s.lastReceived == 0 && now-s.since > firstUpdateTimeout {
		s.renew(now)
	}
}

// receive records the number of an update, and reports whether the update is to be applied: it
// must be the first of a subscription or follow the last one received.
func (s *subscription) receive(first bool, number uint64, now time.Duration) bool {
	switch {
	case first || s.lastReceived > 0 && number == s.lastReceived+1:
		s.lastReceived = number
		return true
	case s.lastReceived > 0:
		s.renew(now) // an update was lost
	}
	return false
}
