package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// loadEvent answers a poll of a target; a nil report says that the poll failed.
type loadEvent struct {
	target core.TargetID
	report *core.LoadReport
}

func (e loadEvent) apply(s *state, now time.Time) {
	state := s.polls[e.target]
	p := s.poolOf(e.target)
	if state == nil || p == nil {
		return
	}
	state.inFlight = false
	if e.report == nil {
		state.failed = true
		s.execute(p.MarkUnreachable(e.target, now), now)
		return
	}
	state.failed = false
	state.last = *e.report
	s.execute(p.ApplyReport(*e.report, now), now)
	s.reportOrders(*e.report, now)
}
