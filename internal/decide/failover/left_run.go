package failover

import "time"

// LeftRun decides how a run is stopped at an engine that the generation has left for another one.
type LeftRun struct {
	open openRuns
}

// NewLeftRun returns the state of a run whose connection was closed just now. Most engines stop such a run by
// themselves, so the first request to stop it is due after a grace.
func NewLeftRun(now, grace time.Duration) *LeftRun {
	return &LeftRun{open: openRuns{current: true, retryAt: now + grace}}
}

// Next returns the next step: Wait, StopLostRun, Finish once the run has ended, or GiveUp if the engine does not stop it.
func (r *LeftRun) Next(now time.Duration) Step {
	if !r.open.any() {
		return Step{Kind: Finish}
	}
	return r.open.next(now)
}

// RecordRunStop records the result of StopLostRun.
func (r *LeftRun) RecordRunStop(result Result, now time.Duration) { r.open.record(result, now) }
