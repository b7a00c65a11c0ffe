package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/message"
)

// messageEvent brings a message of another host.
type messageEvent struct {
	from    core.HostID
	message message.Message
}

func (e messageEvent) apply(s *state) {
	switch m := e.message.(type) {
	case message.HubRequest:
		s.answerAsker(e.from, m)
	case message.HubResponse:
		s.takeAnswer(e.from, m)
	case message.HubUpdate:
		s.takeKnowledge(e.from, m)
	case message.HostWork:
		s.takeWork(e.from, m)
	case message.PlacementRequest:
		s.placeFor(e.from, m)
	case message.PlacementResponse:
		s.takePlacement(m)
	}
}
