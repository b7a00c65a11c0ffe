package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

// paceEvent reports the times between events of one of this host's streams.
type paceEvent struct {
	target core.TargetID
	sums   pace.Sums
}

func (e paceEvent) apply(s *state) {
	s.pace.add(e.target, e.sums)
}
