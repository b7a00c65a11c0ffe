package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// releaseEvent ends an assignment and records its outcome.
type releaseEvent struct {
	assignment Assignment
	outcome    placement.Outcome
}

func (e releaseEvent) apply(s *state) {
	target := e.assignment.Target.Target
	s.balancer.Remove(target, e.assignment.load)
	if e.assignment.HasCopy() {
		s.balancer.Remove(e.assignment.Copy.Target, e.assignment.copy)
	}
	s.loadChanged = true
	s.countEnd(e.assignment, e.outcome)
	if e.outcome != placement.Inconclusive {
		s.balancer.RecordOutcome(e.assignment.Target, e.outcome, s.now())
	}
	if e.outcome == placement.Unreachable || e.outcome == placement.Misdirected {
		s.log.WithField("target", target).WithField("misplaced", e.outcome == placement.Misdirected).
			Warn("target avoided after a failed send")
	}
}
