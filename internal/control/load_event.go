package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// loadEvent is the result of a load poll. The report is nil if the poll failed.
type loadEvent struct {
	target core.TargetID
	report *core.LoadReport
}

func (e loadEvent) apply(s *state, now time.Time) {
	pollState := s.polls[e.target]
	p := s.poolOf(e.target)
	if pollState == nil || p == nil {
		return
	}
	pollState.inFlight = false
	if e.report == nil {
		pollState.failed = true
		s.executePool(p.MarkUnreachable(e.target, now), now)
		return
	}
	pollState.failed = false
	pollState.last = *e.report
	s.executePool(p.ApplyReport(*e.report, now), now)
	s.updateOldStreams(*e.report, now)
}
