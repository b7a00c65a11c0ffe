package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

// lastResolved returns the highest number such that every placement up to it is either part of
// this host's load or has been given up.
func (s *state) lastResolved() uint64 {
	last := s.lastPlacement
	for number := range s.pending {
		last = min(last, number-1)
	}
	return last
}

// requestPlacement requests a placement from the hub. If this host's share of the retry budget does
// not cover the retry, it requests placement and grant from the first of all hosts, which may not be
// the hub. It returns false if no request was sent.
func (s *state) requestPlacement(e placeEvent, needsGrant bool) bool {
	to := s.hub
	if first := s.chooser.LinkedFirst(); needsGrant && first != "" {
		to = first
	}
	if to == "" {
		return false
	}
	s.lastPlacement++
	number, request := s.lastPlacement, e.req.Request
	avoid := append(s.avoidedTargets(e.req.Pool), request.Avoid...)
	sent := s.options.Send(to, message.PlacementRequest{
		Number: number, Pool: e.req.Pool, Request: request.ID, DataCentre: request.DataCentre,
		Memory: request.Memory, Prompt: request.Prompt, WantsCopy: request.WantsCopy, TransfersMemory: request.TransfersMemory, Avoid: avoid,
		RunningOn: e.req.RunningOn, NeedsGrant: needsGrant, MayWait: e.req.MayWait,
		Versioned: e.req.Versioned, Version: e.req.Version, Probe: e.req.Probe,
		Team: e.req.Team, Content: e.req.Content, Priority: e.req.Priority, TimeLeft: e.req.TimeLeft, MaxWait: e.req.MaxWait, Prefix: request.Prefix,
		GapGoal: request.GapGoal,
	})
	if sent {
		timeout := placeTimeout
		if s.limited(e.req.Pool) {
			timeout += e.req.waiter().LongestWait() // for a permit
		}
		timer := time.AfterFunc(timeout, func() { s.options.post(placeTimeoutEvent{number: number}) })
		s.pending[number] = pendingPlacement{placeEvent: e, needsGrant: needsGrant, timer: timer}
	}
	return sent
}

// avoidedTargets lists the targets of a pool that this host recently failed to reach.
func (s *state) avoidedTargets(pool core.PoolID) []core.TargetID {
	now := s.now()
	ids := slices.DeleteFunc(s.balancer.AvoidedTargets(now), func(id core.TargetID) bool { return s.view.Targets[id].Pool != pool })
	for _, id := range s.balancer.CutOffDataCentres(now) {
		for _, candidate := range s.candidates(pool) {
			if candidate.DataCentre == id {
				ids = append(ids, candidate.Target)
			}
		}
	}
	return ids
}

// inVersion reports whether a candidate is of the version to which a request goes.
func (s *state) inVersion(c placement.Candidate, req PlacementRequest) bool {
	return s.rollouts == nil || !req.Versioned || c.Version == req.Version && s.allows(req.Pool, c.Version)
}

// handlePlacementResponse answers the waiting request with the target that the hub chose. If
// the hub chose none, or one that this host does not know or avoids, the host chooses a target
// itself.
func (s *state) handlePlacementResponse(m message.PlacementResponse) {
	waiting, ok := s.pending[m.Number]
	if !ok {
		return
	}
	delete(s.pending, m.Number)
	waiting.timer.Stop()
	if m.AtCapacity || m.RateLimited {
		waiting.reply <- Assignment{AtCapacity: m.AtCapacity, RateLimited: m.RateLimited, RetryAfter: max(m.RetryAfter, 0)}
		return
	}
	choice := placement.Choice{Target: s.candidate(m.Target), ExpectedCached: m.ExpectedCached}
	if m.Copy != "" && s.view.Usable(m.Copy) {
		choice.Copy = s.candidate(m.Copy)
		if !s.inVersion(choice.Copy, waiting.req) {
			choice.Copy = placement.Candidate{}
		}
	}
	usable := m.Target != "" && (s.view.Usable(m.Target) || m.Target == waiting.req.RunningOn)
	if waiting.needsGrant && m.Target == "" {
		waiting.refuseRetry(s)
		return
	}
	usable = usable && s.inVersion(choice.Target, waiting.req)
	if !usable || s.balancer.Avoided(m.Target, s.now()) && waiting.req.RunningOn == "" {
		waiting.placeLocally(s)
		return
	}
	waiting.reply <- s.assign(choice, waiting.req)
}
