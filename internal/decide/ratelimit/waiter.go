package ratelimit

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Waiter is a request for a permit.
type Waiter struct {
	ID       uint64
	Content  uint64 // identifies what the caller sends, also when it comes back
	Team     core.TeamID
	Priority core.Priority
	MaxWait  time.Duration // time that the request can wait and still be on time
	TimeLeft time.Duration // time that the caller still waits
	until    time.Duration // end of MaxWait
	promised bool          // the caller comes back at the time that it was told
}

// LongestWait returns the longest time for which the request waits for a permit. A caller that comes back
// as it was told waits longer than it could otherwise: to be sent away again would be worse.
func (w Waiter) LongestWait() time.Duration {
	return max(w.MaxWait, min(time.Duration(patience*float64(w.TimeLeft)), promiseTTL))
}
