package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// messageEvent is a message from another host.
type messageEvent struct {
	from    core.HostID
	message message.Message
}

func (e messageEvent) apply(s *state) {
	switch m := e.message.(type) {
	case message.HubRequest:
		s.handleHubRequest(e.from, m)
	case message.HubResponse:
		s.handleHubResponse(e.from, m)
	case message.HubUpdate:
		s.handleHubUpdate(e.from, m)
	case message.HostLoad:
		s.handleHostLoad(e.from, m)
	case message.PlacementRequest:
		s.handlePlacementRequest(e.from, m)
	case message.PlacementResponse:
		s.handlePlacementResponse(m)
	case message.PartEvidence:
		s.handlePartEvidence(m)
	case message.TargetLimits:
		s.handleTargetLimits(m)
	}
}
