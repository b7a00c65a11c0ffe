package ratelimit

import "time"

// Rejection is a request that gets no permit.
type Rejection struct {
	ID uint64
	// RetryAfter is the time after which a permit is left for the request.
	RetryAfter time.Duration
}
