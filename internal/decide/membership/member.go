package membership

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// member is what is known of one other host.
type member struct {
	host     core.Host // as listed, with the state of the latest heartbeat
	listed   bool      // the newest list names it
	since    time.Time // when it became known, or was listed again
	linked   bool
	heardAt  time.Time // zero if it was never heard
	beat     Heartbeat
	demanded time.Time // when a link was last asked for; zero if never
}

func (m *member) heardWithin(limit time.Duration, now time.Time) bool {
	return !m.heardAt.IsZero() && now.Sub(m.heardAt) <= limit
}

// current returns the host. A fresh heartbeat says better than the list whether it leaves.
func (m *member) current(limit time.Duration, now time.Time) core.Host {
	host := m.host
	if m.heardWithin(limit, now) {
		host.Leaving = m.beat.Leaving
	}
	return host
}
