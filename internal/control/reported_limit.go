package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// maxReportedLimitAge is the maximum age at which a former owner's limit is inherited. A takeover
// after the loss of a host takes about 20 s.
const maxReportedLimitAge = time.Minute

// reportedLimit is the limit of a target as its last owner reported it.
type reportedLimit struct {
	load       message.TargetLoad
	receivedAt time.Time
}

// recordTargetLoads records the loads that a peer reports for its targets. The limits are
// kept when the peer is lost, so that the next owner can inherit them.
func (s *state) recordTargetLoads(from core.HostID, m message.TargetLoads, now time.Time) {
	s.loads[from] = m
	for _, load := range m.Targets {
		s.limits[load.Target] = reportedLimit{load: load, receivedAt: now}
	}
}

// inheritLimit sets the limit of a newly acquired target to that of its former owner.
func (s *state) inheritLimit(id core.TargetID, now time.Time) {
	reported, ok := s.limits[id]
	if p := s.poolOf(id); ok && p != nil && now.Sub(reported.receivedAt) <= maxReportedLimitAge {
		p.InheritLimit(id, reported.load.Incarnation, reported.load.Limit)
	}
}
