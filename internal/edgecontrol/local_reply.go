package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// localReply answers a request of this host.
type localReply struct {
	reply chan<- Assignment
	req   PlacementRequest
}

func (r localReply) placed(s *state, choice placement.Choice, _ placement.Request) {
	r.reply <- s.assign(choice, r.req)
}

func (r localReply) unplaced(_ *state, why Assignment) { r.reply <- why }
