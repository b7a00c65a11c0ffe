package platformserver

import "time"

// announcement is one announcement of a host, kept for as long as the lagging list may need it.
type announcement struct {
	host host
	at   time.Time
}
