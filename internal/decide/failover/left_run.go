package failover

import "time"

// maxDelayDoublings bounds the wait between two requests to stop a run that are not answered, which doubles after each.
const maxDelayDoublings = 4

// LeftRun decides how a run is stopped at an engine that the generation has left for another one, or that may run it
// though its answer was lost.
type LeftRun struct {
	begun      bool // the engine has been seen to run it
	beginBy    time.Duration
	deadline   time.Duration
	refused    int // requests to stop the run
	unanswered int
	ended      bool
	retryAt    time.Duration
}

// NewLeftRun returns the state of a run. The first request to stop it is due at a time. An engine that has not been
// seen to run it begins it until beginBy or not at all, and no engine works on it after the deadline.
func NewLeftRun(due time.Duration, begun bool, beginBy, deadline time.Duration) *LeftRun {
	return &LeftRun{begun: begun, beginBy: min(beginBy, deadline), deadline: deadline, retryAt: due}
}

// Next returns the next step: Wait, StopLostRun, Finish once the run has ended, or GiveUp if the engine does not stop it.
func (r *LeftRun) Next(now time.Duration) Step {
	switch {
	case r.ended || now >= r.deadline:
		return Step{Kind: Finish}
	case r.refused >= maxRunStops:
		return Step{Kind: GiveUp}
	case now < r.retryAt:
		return Step{Kind: Wait, At: r.retryAt}
	default:
		return Step{Kind: StopLostRun}
	}
}

// RecordRunStop records the result of StopLostRun.
func (r *LeftRun) RecordRunStop(result Result, now time.Duration) {
	delay := stopRetryDelay
	switch {
	case result == Done, result == StoppedOnly:
		r.ended = true
	case result == NoRun:
		r.ended = r.begun || now >= r.beginBy
	case result == Unknown, result == InProgress && r.unanswered > 0: // the step is a stop that was not answered
		delay = stopRetryDelay << min(r.unanswered, maxDelayDoublings)
		r.unanswered++
	default:
		r.refused++
	}
	r.retryAt = now + delay
}
