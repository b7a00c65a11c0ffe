package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/quarantine"
	"siskintide.example/siskintide/internal/message"
)

// evidenceInterval is the minimum time between two messages with new evidence. Engines that end
// together would cause many.
const evidenceInterval = 100 * time.Millisecond

// handlePartEvidence takes over what another host knows.
func (s *state) handlePartEvidence(m message.PartEvidence) {
	s.quarantine.Merge(m.Parts, s.now())
	s.shareEvidence()
}

// shareEvidence applies new evidence on prompt parts, and sends it to the hub and to the subscribers.
func (s *state) shareEvidence() {
	s.updateHolds()
	if s.now()-s.evidenceSentAt < evidenceInterval {
		return // tickQuarantine sends it
	}
	changes := s.quarantine.TakeChanges(s.now())
	if len(changes) == 0 {
		return
	}
	s.evidenceSentAt = s.now()
	m := message.PartEvidence{Parts: changes}
	if s.hub != "" && !s.options.Send(s.hub, m) {
		s.hubLacksEvidence = true
	}
	for _, id := range s.chooser.Subscribers() {
		if sub := s.subscribers[id]; sub != nil && !s.options.Send(id, m) {
			sub.lacksEvidence = true
		}
	}
}

// sendAllEvidence sends all evidence to a new hub or subscriber. It reports whether that succeeded.
func (s *state) sendAllEvidence(to core.HostID) bool {
	all := s.quarantine.Evidence(s.now())
	return len(all) == 0 || s.options.Send(to, message.PartEvidence{Parts: all})
}

// tickQuarantine ends holds whose time is over, and sends evidence that is due.
func (s *state) tickQuarantine() {
	s.quarantine.Expire(s.now())
	if s.hub != "" && s.hubLacksEvidence {
		s.hubLacksEvidence = !s.sendAllEvidence(s.hub)
	}
	s.shareEvidence()
}

// updateHolds puts the holds of prompt parts into the view, and logs those that begin or end.
func (s *state) updateHolds() {
	holds := s.quarantine.Holds(s.now())
	if slices.EqualFunc(holds, s.view.Holds, quarantine.Hold.Equal) {
		return
	}
	for _, hold := range holds {
		if !containsHold(s.view.Holds, hold) {
			s.log.WithField("prompt_parts", hold.Parts).WithField("crashes", hold.Crashes).
				WithField("for_ms", (hold.Until - s.now()).Milliseconds()).Warn("prompt parts held back: engines crash under them")
		}
	}
	for _, hold := range s.view.Holds {
		if !containsHold(holds, hold) {
			s.log.WithField("prompt_parts", hold.Parts).Info("prompt parts no longer held back")
		}
	}
	s.view.Holds, s.changed = holds, true
}

// containsHold reports whether a list has a hold of the same parts.
func containsHold(holds []quarantine.Hold, hold quarantine.Hold) bool {
	return slices.ContainsFunc(holds, func(other quarantine.Hold) bool { return slices.Equal(other.Parts, hold.Parts) })
}
