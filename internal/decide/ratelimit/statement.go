package ratelimit

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// minRate is the lowest rate at which a target is used, in requests per second. Without any
	// request nobody would learn that the limit has ended.
	minRate = 0.5
	// maxRate is a rate that no target reaches; higher ones would exceed the range of the counters.
	maxRate = 1e6
	// releasePeriod is the time for which an ended limit is raised before it is dropped. The rate
	// doubles each releaseStep, so that callers who were turned away do not arrive all at once.
	releasePeriod = 3 * time.Second
	releaseStep   = time.Second
	// rejectionHold is how long a limit that a rejection has named holds, although responses to
	// requests that were run do not name it.
	rejectionHold = 5 * time.Second
	// renewalInterval is the time between two messages to other hosts that a limit still holds, and
	// rateChangeInterval the one between two messages on small changes of the rate.
	renewalInterval    = 2 * time.Second
	rateChangeInterval = 500 * time.Millisecond
	// largeChange is the relative change of a rate that other hosts are told at once.
	largeChange = 0.2
	// endedTTL is how long an ended limit is remembered, so that a delayed message of another host
	// does not put it in force again.
	endedTTL = 10 * time.Second
	// unregisteredTTL is how long the limit of a target is remembered that is not registered: its entry
	// may come back after an outage of the store.
	unregisteredTTL = time.Minute
)

// statement is the newest that is known of a target's limit.
type statement struct {
	rate        float64       // requests per second
	sentAt      time.Duration // when the request was sent whose response made the statement
	byRejection bool          // the limit was named by a response to a request that was not run
	ended       bool          // the target does not name a limit any more
	endedAt     time.Duration
	told        bool // the other hosts have been told
	toldAt      time.Duration
	toldRate    float64
}

// current returns the rate in force, or false if there is no limit.
func (s *statement) current(now time.Duration) (float64, bool) {
	rate := min(max(s.rate, minRate), maxRate)
	if !s.ended {
		return rate, true
	}
	since := now - s.endedAt
	return rate * math.Exp2(float64(max(since, 0))/float64(releaseStep)), since < releasePeriod
}

// due reports whether the other hosts are to be told.
func (s *statement) due(now time.Duration) bool {
	if !s.told {
		return true
	}
	since := now - s.toldAt
	switch change := math.Abs(s.rate - s.toldRate); {
	case s.ended:
		return false
	case change > largeChange*s.toldRate:
		return true
	case change > 0:
		return since >= rateChangeInterval
	default:
		return since >= renewalInterval && s.sentAt > s.toldAt
	}
}

func (s *statement) report(target core.TargetID, now time.Duration) core.TargetLimit {
	return core.TargetLimit{
		Target: target, Rate: s.rate, Age: max(now-s.sentAt, 0), ByRejection: s.byRejection,
		Ended: s.ended, EndedAge: max(now-s.endedAt, 0),
	}
}
