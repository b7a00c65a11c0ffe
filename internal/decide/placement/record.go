package placement

import (
	"math"
	"time"
)

const (
	// failureWeight is the part of the failure rate that one more outcome makes up; ten
	// outcomes tell a target that fails nearly half of its requests.
	failureWeight = 0.12
	// failureHalfLife is the time in which a failure rate that nothing adds to halves: a
	// target that gets no requests has to be tried again.
	failureHalfLife = 2 * time.Second
	// suspicionFirst is how long a target is avoided after it could not be reached.
	suspicionFirst = 500 * time.Millisecond
	// suspicionMost bounds how long a target is avoided before it is tried again.
	suspicionMost = 4 * time.Second
	// fullPeriod is how long a target that refused for lack of room is avoided.
	fullPeriod = 150 * time.Millisecond
)

// record is what the outcomes of this host's sends say of a target.
type record struct {
	failureRate float64 // 0 to 1 as of noted, newer outcomes count more
	noted       time.Duration
	suspect     time.Duration
	avoidUntil  time.Duration
	misplaced   bool // another target has its address
}

// failures returns the failure rate as it counts now.
func (r *record) failures(now time.Duration) float64 {
	return r.failureRate * math.Exp2(-float64(max(now-r.noted, 0))/float64(failureHalfLife))
}

func (r *record) note(outcome Outcome, now time.Duration) {
	r.failureRate, r.noted = r.failures(now), max(now, r.noted)
	switch outcome {
	case Answered:
		r.failureRate *= 1 - failureWeight
		r.suspect = 0
	case Failed:
		r.failureRate += (1 - r.failureRate) * failureWeight
	case Unreachable:
		r.suspect = min(max(2*r.suspect, suspicionFirst), suspicionMost)
		r.avoidUntil = now + r.suspect
	case Full:
		r.avoidUntil = max(r.avoidUntil, now+fullPeriod)
	case Misplaced:
		r.misplaced = true
	case Withdrawn:
	}
}
