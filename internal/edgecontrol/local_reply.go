package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// localReply answers a request of this host.
type localReply struct {
	reply chan<- Assignment
}

func (r localReply) placed(s *state, choice placement.Choice, request placement.Request) {
	r.reply <- s.assign(choice, request)
}

func (r localReply) unplaced(_ *state, why Assignment) { r.reply <- why }
