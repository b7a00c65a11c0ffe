package quarantine

import "time"

// crash is one crash of an engine.
type crash struct {
	id uint64
	at time.Duration
}
