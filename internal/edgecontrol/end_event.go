package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// endEvent notes that a use is over.
type endEvent struct {
	use     Assignment
	outcome placement.Outcome
}

func (e endEvent) apply(s *state) {
	target := e.use.Target.Target
	s.book.Remove(target, e.use.load)
	if e.use.HasCopy() {
		s.book.Remove(e.use.Copy.Target, e.use.copy)
	}
	s.loadChanged = true
	if e.outcome != placement.Inconclusive {
		s.book.RecordOutcome(e.use.Target, e.outcome, s.now())
	}
	if e.outcome == placement.Unreachable || e.outcome == placement.Misdirected {
		s.log.WithField("target", target).WithField("misplaced", e.outcome == placement.Misdirected).
			Warn("target avoided after a failed send")
	}
}
