package revision

import "time"

// Timing holds the intervals and timeouts of a Follower.
type Timing struct {
	Poll        time.Duration // mean time between reads of the head
	Jitter      float64       // fraction of Poll by which each wait may differ, which spreads the reads of hosts
	CallTimeout time.Duration // time after which an unanswered call to the platform or a peer counts as lost
}

// DefaultTiming returns a mean poll interval of 2 s with 25% jitter, which is 200 reads a
// second for 400 hosts.
func DefaultTiming() Timing {
	return Timing{Poll: 2 * time.Second, Jitter: 0.25, CallTimeout: 2 * time.Second}
}
