package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// placeEvent requests a target.
type placeEvent struct {
	req   PlacementRequest
	reply chan<- Assignment // buffered, so that the control goroutine never blocks on it
}

func (e placeEvent) apply(s *state) {
	if s.view.Table == nil {
		e.reply <- Assignment{}
		return
	}
	if e.req.Request.DataCentre == "" {
		e.req.Request.DataCentre = s.options.Self.DataCentre
	}
	s.avoidResting(&e.req)
	s.chooseVersion(&e.req)
	covered := !e.req.Retry || s.retryBudget(e.req.Pool).TrySpend(s.now(), len(s.hosts)) || s.grantRetry(e.req.Pool)
	spec := s.view.Table.Pool(e.req.Pool)
	placedByHub := spec != nil && spec.Engine != nil || !s.issuesOwnPermits() && s.limited(e.req.Pool)
	if placedByHub && s.requestPlacement(e, !covered) {
		return
	}
	if !covered {
		e.refuseRetry(s)
		return
	}
	e.placeLocally(s)
}

// refuseRetry refuses a retry that the retry budget does not cover.
func (e placeEvent) refuseRetry(s *state) {
	s.log.WithField("pool", e.req.Pool).WithField("request", e.req.Request.ID).WithField("hosts", len(s.hosts)).
		Warn("second send is not covered by the bound")
	e.reply <- Assignment{}
}

// placeLocally answers with a target chosen from this host's own state.
func (e placeEvent) placeLocally(s *state) {
	if e.req.Probe {
		// Targets of the new version take no part in the issue of permits, and no request waits for them.
		if choice, ok := s.choose(e.req, false); ok && !s.shouldWait(choice, e.req) {
			e.reply <- s.assign(choice, e.req)
			return
		}
		s.unprobe(&e.req)
	}
	s.place(e.req, s.issuesOwnPermits(), localReply{reply: e.reply, req: e.req})
}

// shouldWait reports whether a request that may wait should do so, because even the chosen
// target does not have the memory for it.
func (s *state) shouldWait(choice placement.Choice, req PlacementRequest) bool {
	return req.MayWait && req.RunningOn == "" && s.balancer.ExceedsMemory(choice.Target, req.Request)
}

// choose selects a target from this host's own state, or only a target for the copy if the
// generation already runs. Limited targets are chosen only with usePermits, and never for copies.
func (s *state) choose(req PlacementRequest, usePermits bool) (placement.Choice, bool) {
	if s.view.Table == nil {
		return placement.Choice{}, false
	}
	if req.RunningOn == "" {
		s.setPace(&req)
		choice, ok := s.balancer.Choose(s.permitted(s.requestCandidates(req), usePermits), req.Request, s.now())
		s.recordAvoided(&req, choice)
		return choice, ok
	}
	choice := placement.Choice{Target: s.candidate(req.RunningOn)}
	if choice.Target.Address != "" && !s.allows(req.Pool, choice.Target.Version) {
		return placement.Choice{}, false
	}
	candidates := s.permitted(s.requestCandidates(req), false)
	if req.Request.WantsCopy {
		if holder, ok := s.balancer.ChooseCopy(candidates, req.Request, req.RunningOn, s.now()); ok {
			choice.Copy = holder
		}
	}
	return choice, true
}

// candidate returns the placement candidate for a target.
func (s *state) candidate(id core.TargetID) placement.Candidate {
	entry := s.view.Targets[id]
	return placement.Candidate{Target: id, Address: entry.Address, DataCentre: entry.DataCentre, Slots: entry.Slots, Version: entry.Version}
}

func (s *state) assign(choice placement.Choice, req PlacementRequest) Assignment {
	request := req.Request
	assignment := Assignment{Choice: choice, load: request.Load(), rollout: s.rolloutTicket(choice, req)}
	s.balancer.Add(choice.Target.Target, assignment.load)
	if choice.HasCopy() {
		assignment.copy = placement.Load{Copies: request.Memory}
		s.balancer.Add(choice.Copy.Target, assignment.copy)
	}
	s.loadChanged = true
	return assignment
}
