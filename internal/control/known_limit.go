package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// knownLimitAge is the longest age at which a former owner's limit is taken over: a
// takeover after the loss of a host takes about 20 s.
const knownLimitAge = time.Minute

// knownLimit is the limit that another owner last gave a target.
type knownLimit struct {
	load    message.TargetLoad
	heardAt time.Time
}

// takeTargetLoads keeps what a peer says about its targets. The limits outlive the peer.
func (s *state) takeTargetLoads(from core.HostID, m message.TargetLoads, now time.Time) {
	s.loads[from] = m
	for _, load := range m.Targets {
		s.limits[load.Target] = knownLimit{load: load, heardAt: now}
	}
}

// inherit gives a newly owned target the limit that its former owner had reached.
func (s *state) inherit(id core.TargetID, now time.Time) {
	known, ok := s.limits[id]
	if p := s.poolOf(id); ok && p != nil && now.Sub(known.heardAt) <= knownLimitAge {
		p.InheritLimit(id, known.load.Incarnation, known.load.Limit)
	}
}
