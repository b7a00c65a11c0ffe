package quarantine

import "time"

// sound is the last generation on a part that has begun.
type sound struct {
	id uint64
	at time.Duration
}
