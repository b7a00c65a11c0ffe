package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/quarantine"
	"siskintide.example/siskintide/internal/message"
)

// evidenceInterval is the interval at which evidence on prompt parts is sent again. A host that has
// just started, or has another hub, gets it within that time.
const evidenceInterval = time.Second

// handlePartEvidence takes over what another host knows, and passes on what is new.
func (s *state) handlePartEvidence(from core.HostID, m message.PartEvidence) {
	if s.quarantine.Merge(m.Parts, s.now()) {
		s.updateHolds()
		s.sendEvidence(from)
	}
}

// sendEvidence sends the evidence on prompt parts to the hub and to the subscribers, apart from the
// host that it came from.
func (s *state) sendEvidence(except core.HostID) {
	m := message.PartEvidence{Parts: s.quarantine.Evidence(s.now())}
	if len(m.Parts) == 0 {
		return
	}
	s.evidenceSentAt = s.now()
	for _, to := range append(s.chooser.Subscribers(), s.hub) {
		if to != "" && to != except {
			s.options.Send(to, m)
		}
	}
}

// tickQuarantine ends holds whose time is over and repeats the evidence.
func (s *state) tickQuarantine() {
	s.quarantine.Expire(s.now())
	s.updateHolds()
	if s.now()-s.evidenceSentAt >= evidenceInterval {
		s.sendEvidence("")
	}
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
