package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

// subscriberReply answers a subscriber's request.
type subscriberReply struct {
	host   core.HostID
	number uint64
}

func (r subscriberReply) placed(s *state, choice placement.Choice, request placement.Request) {
	loads := map[core.TargetID]placement.Load{choice.Target.Target: request.Load()}
	if choice.HasCopy() {
		loads[choice.Copy.Target] = placement.Load{Copies: request.Memory}
	}
	s.balancer.AddPeerGrant(r.host, r.number, loads, s.now())
	s.options.Send(r.host, message.PlacementResponse{Number: r.number, Target: choice.Target.Target, Copy: choice.Copy.Target, ExpectedCached: choice.ExpectedCached})
}

func (r subscriberReply) unplaced(s *state, why Assignment) {
	s.options.Send(r.host, message.PlacementResponse{Number: r.number, AtCapacity: why.AtCapacity, RateLimited: why.RateLimited, RetryAfter: why.RetryAfter})
}
