package revision

import "time"

// Timing holds the follower's spans of time.
type Timing struct {
	Poll        time.Duration // mean time between reads of the head
	Jitter      float64       // share of Poll by which single waits differ, so that hosts spread their reads
	CallTimeout time.Duration // time after which a read, a fetch or a question to a peer counts as lost
}

// DefaultTiming polls every 2 s, give or take a quarter, which is 200 reads a second for 400 hosts.
func DefaultTiming() Timing {
	return Timing{Poll: 2 * time.Second, Jitter: 0.25, CallTimeout: 2 * time.Second}
}
