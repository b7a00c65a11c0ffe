package failover

import "time"

const (
	// maxRunStops bounds the requests to stop one run. The generation is given up if the engine refuses all.
	maxRunStops = 5
	// maxUnansweredStops is the number of such requests without an answer after which the generation goes on without
	// one, as the engine has ended or cannot be reached.
	maxUnansweredStops = 3
	// stopRetryDelay is the wait after a request to stop a run that had no effect, or that was not answered.
	stopRetryDelay = 100 * time.Millisecond
)

// openRuns are the runs of a generation that may go on at engines whose connections have ended.
type openRuns struct {
	current    bool // at the engine that the generation has last run at
	begun      bool // that engine has been seen to run it
	failedNext bool // at the engine of the last switch, which failed
	requests   int  // to stop the run that is stopped first, apart from those answered with NoRun
	unanswered int  // of them
	retryAt    time.Duration
}

// any reports whether there is such a run.
func (r *openRuns) any() bool { return r.current || r.failedNext }

// next returns the step that stops the first run.
func (r *openRuns) next(now time.Duration) Step {
	switch {
	case r.requests >= maxRunStops:
		return Step{Kind: GiveUp}
	case now < r.retryAt:
		return Step{Kind: Wait, At: r.retryAt}
	case r.failedNext:
		return Step{Kind: StopFailedSwitch}
	default:
		return Step{Kind: StopLostRun}
	}
}

// record records the result of a request to stop the first run. If the engine has not begun the run, it is asked again
// until beginBy; zero if the generation does not wait for that. record reports whether the run has been closed although
// the engine may still work on it, or may begin it.
func (r *openRuns) record(result Result, beginBy, now time.Duration) (unconfirmed bool) {
	if result == NoRun {
		unbegun := r.failedNext || !r.begun
		if unbegun && now < beginBy {
			r.retryAt = now + stopRetryDelay
			return false
		}
		r.closeFirst()
		return unbegun
	}
	r.requests++
	if result == InProgress {
		result = NotDone
		if r.unanswered > 0 { // the step is a stop that was not answered
			result = Unknown
		}
	}
	if result == Unknown {
		r.unanswered++
	}
	if result == NotDone || result == Unknown && r.unanswered < maxUnansweredStops {
		r.retryAt = now + stopRetryDelay
		return false
	}
	r.closeFirst()
	return result == Unknown
}

// steps returns the steps that stop the runs, without one whose engine has refused all requests to stop it.
func (r *openRuns) steps() []StepKind {
	var steps []StepKind
	if r.failedNext {
		steps = append(steps, StopFailedSwitch)
	}
	if r.current {
		steps = append(steps, StopLostRun)
	}
	if len(steps) > 0 && r.requests >= maxRunStops {
		steps = steps[1:]
	}
	return steps
}

// closeFirst removes the first run.
func (r *openRuns) closeFirst() {
	if r.failedNext {
		*r = openRuns{current: r.current, begun: r.begun}
		return
	}
	*r = openRuns{}
}
