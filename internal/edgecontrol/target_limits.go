package edgecontrol

import (
	"maps"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// handleTargetLimits takes over what another host knows.
func (s *state) handleTargetLimits(m message.TargetLimits) {
	s.limits.Merge(m.Limits, s.now())
	s.shareLimits()
}

// shareLimits puts the limited targets into the view, and sends news on limits to the hub and to the
// subscribers.
func (s *state) shareLimits() {
	if limited := s.limits.Limited(s.now()); !maps.Equal(limited, s.view.LimitedTargets) {
		s.view.LimitedTargets, s.changed = limited, true
	}
	changes := s.limits.TakeChanges(s.now())
	if len(changes) == 0 {
		return
	}
	m := message.TargetLimits{Limits: changes}
	if s.hub != "" && !s.options.Send(s.hub, m) {
		s.hubLacksLimits = true
	}
	for _, id := range s.chooser.Subscribers() {
		if sub := s.subscribers[id]; sub != nil && !s.options.Send(id, m) {
			sub.lacksLimits = true
		}
	}
}

// sendAllLimits sends all known limits to a new hub or subscriber. It reports whether that succeeded.
func (s *state) sendAllLimits(to core.HostID) bool {
	all := s.limits.All(s.now())
	return len(all) == 0 || s.options.Send(to, message.TargetLimits{Limits: all})
}

// tickLimits drops limits that have ended, and sends news that is due.
func (s *state) tickLimits() {
	s.limits.Expire(func(id core.TargetID) bool { _, ok := s.view.Targets[id]; return ok }, s.now())
	for id := range s.view.LimitedTargets {
		rate, _ := s.permitRate(id)
		s.targetPermits(id).Available(s.now(), rate) // issuers of one target keep in step
	}
	for id := range s.permits {
		if _, limited := s.limits.Rate(id, s.now()); !limited {
			delete(s.permits, id)
		}
	}
	if s.hub != "" && s.hubLacksLimits {
		s.hubLacksLimits = !s.sendAllLimits(s.hub)
	}
	s.shareLimits()
}
