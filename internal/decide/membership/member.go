package membership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// member is the state of one other host.
type member struct {
	host            core.Host // as listed
	listed          bool      // the latest list names it
	knownSince      time.Time // when it became known, or was listed again
	linked          bool
	lastContact     time.Time // of the latest heartbeat or handshake; zero if there was none
	heartbeat       Heartbeat // latest received
	linkRequestedAt time.Time // of the latest RequestLink; zero if there was none
}

func (m *member) contactWithin(limit time.Duration, now time.Time) bool {
	return !m.lastContact.IsZero() && now.Sub(m.lastContact) <= limit
}

// current returns the host. Whether it is leaving is taken from its latest heartbeat if
// that is recent, since the list lags.
func (m *member) current(limit time.Duration, now time.Time) core.Host {
	host := m.host
	if m.contactWithin(limit, now) {
		host.Leaving = m.heartbeat.Leaving
	}
	return host
}
