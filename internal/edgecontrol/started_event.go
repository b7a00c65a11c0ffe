package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// startedEvent notes that the first event of a use's generation has arrived.
type startedEvent struct {
	use Assignment
}

func (e startedEvent) apply(s *state) {
	s.book.Remove(e.use.Target.Target, placement.Load{PendingPrefill: e.use.load.PendingPrefill})
	s.loadChanged = true
}
