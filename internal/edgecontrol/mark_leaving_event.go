package edgecontrol

import "siskintide.example/siskintide/internal/core"

// markLeavingEvent reports that a target has said itself that it leaves.
type markLeavingEvent struct {
	target core.TargetID
}

func (e markLeavingEvent) apply(s *state) {
	if s.registry.MarkLeaving(e.target, s.now()) {
		s.registryChanged, s.lastRegistryDigest = true, 0
		s.log.WithField("target", e.target).Info("target says that it leaves")
	}
}
