package platformserver

import "time"

// announcement is one announcement of a host. It is kept for Options.HostLag plus
// Options.HostTTL, as long as the delayed list of hosts may need it.
type announcement struct {
	host host
	at   time.Time
}
