package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/ratelimit"
)

// minPermitDelay is the minimum delay of a timer for the next permit.
const minPermitDelay = time.Millisecond

// limited reports whether a pool has limited targets that may get new work.
func (s *state) limited(pool core.PoolID) bool {
	return len(s.view.LimitedTargets) > 0 && slices.ContainsFunc(s.candidates(pool), func(c placement.Candidate) bool { return s.view.LimitedTargets[c.Target] })
}

// issuesOwnPermits reports whether this host issues the permits for its own requests. Otherwise its hub
// does.
func (s *state) issuesOwnPermits() bool { return s.hub == "" && s.hostsKnown }

// permitShare returns the share of all permits that this host issues. Each host counts for one share: at
// its hub, or at itself if it has none.
func (s *state) permitShare() float64 {
	shares := s.chooser.SubscriberCount()
	if s.issuesOwnPermits() {
		shares++
	}
	return min(float64(shares)/float64(max(len(s.hosts), 1)), 1)
}

// permitRate returns the rate of a target's permits, or false if the target is not limited.
func (s *state) permitRate(target core.TargetID) (ratelimit.Rate, bool) {
	rate, limited := s.limits.Rate(target, s.now())
	return ratelimit.Rate{Total: rate, Share: s.permitShare()}, limited
}

func (s *state) targetPermits(target core.TargetID) *ratelimit.Permits {
	if s.permits[target] == nil {
		s.permits[target] = ratelimit.NewPermits(hostFraction(s.options.Self.ID))
	}
	return s.permits[target]
}

func (s *state) gate(pool core.PoolID) *ratelimit.Gate {
	if s.gates[pool] == nil {
		s.gates[pool] = ratelimit.NewGate()
	}
	return s.gates[pool]
}

// supply returns what the limited targets of a pool can take that a request does not avoid, and the
// number of these targets.
func (s *state) supply(pool core.PoolID, avoid []core.TargetID) (ratelimit.Supply, int) {
	total, count := ratelimit.Supply{NextIn: time.Hour}, 0
	for _, c := range s.candidates(pool) {
		rate, limited := s.permitRate(c.Target)
		if !limited || slices.Contains(avoid, c.Target) {
			continue
		}
		count++
		permits := s.targetPermits(c.Target)
		total.Available += permits.Available(s.now(), rate)
		total.NextIn = min(total.NextIn, permits.UntilNext(s.now(), rate))
		total.Rate += rate.Total * rate.Share
	}
	return total, count
}

// permitted returns the candidates without limit, and with usePermits also the limited ones for which
// there is a permit.
func (s *state) permitted(candidates []placement.Candidate, usePermits bool) []placement.Candidate {
	if len(s.view.LimitedTargets) == 0 {
		return candidates
	}
	allowed := make([]placement.Candidate, 0, len(candidates))
	for _, c := range candidates {
		rate, limited := s.permitRate(c.Target)
		if limited && (!usePermits || s.targetPermits(c.Target).Available(s.now(), rate) == 0) {
			continue
		}
		c.Limited = limited
		allowed = append(allowed, c)
	}
	return allowed
}

// usePermit counts a request that is sent to a target.
func (s *state) usePermit(req PlacementRequest, target core.TargetID) {
	rate, limited := s.permitRate(target)
	if !limited || rate.Share == 0 {
		return
	}
	s.targetPermits(target).Take(s.now(), rate)
	s.gate(req.Pool).Record(req.Team, req.Priority, s.now())
}

// place chooses targets for a request and replies. While all targets are limited and no permit is left,
// the request waits or is rejected. With issuing, this host issues the permits for the request.
func (s *state) place(req PlacementRequest, issuing bool, reply placementReply) {
	usePermits, promised := false, false
	if issuing && s.limited(req.Pool) && !req.Request.TransfersMemory {
		supply, _ := s.supply(req.Pool, req.Request.Avoid)
		promised = s.gate(req.Pool).Redeem(req.Team, req.Content, s.now())
		usePermits = promised && supply.Available > 0 || s.gate(req.Pool).Open(supply, s.now())
	}
	choice, ok := s.choose(req, usePermits)
	switch {
	case ok && s.shouldWait(choice, req):
		reply.unplaced(s, Assignment{AtCapacity: true})
	case ok:
		s.usePermit(req, choice.Target.Target)
		s.recordPrefix(req, choice)
		s.recordPrompt(req, choice)
		reply.placed(s, choice, req.Request)
	case req.Request.TransfersMemory || !s.awaitPermit(req, issuing, promised, reply):
		reply.unplaced(s, Assignment{RetryAfter: s.restLeft(req.Pool)})
	}
}

// awaitPermit makes a request wait for a permit, or rejects it with the time at which one is left. It
// returns false if the request has no limited target left.
func (s *state) awaitPermit(req PlacementRequest, issuing, promised bool, reply placementReply) bool {
	supply, targets := s.supply(req.Pool, req.Request.Avoid)
	if targets == 0 {
		return false
	}
	if !issuing {
		reply.unplaced(s, Assignment{RateLimited: true}) // the hub issues the permits, and has not responded
		return true
	}
	s.lastWaiter++
	waiter := req.waiter()
	waiter.ID = s.lastWaiter
	s.permitWaiters[waiter.ID] = permitWaiter{req: req, reply: reply}
	verdict, rejections := s.gate(req.Pool).Arrive(waiter, promised, supply, s.now())
	if verdict == ratelimit.Admitted { // a permit has been issued since the choice
		s.serveWaiter(waiter.ID)
	}
	s.rejectWaiters(rejections)
	s.schedulePermits(req.Pool)
	return true
}

// serveWaiter sends a request that may use a permit to a target.
func (s *state) serveWaiter(id uint64) {
	w := s.permitWaiters[id]
	delete(s.permitWaiters, id)
	choice, ok := s.choose(w.req, true)
	if !ok {
		w.reply.unplaced(s, Assignment{RateLimited: true})
		return
	}
	s.usePermit(w.req, choice.Target.Target)
	s.recordPrefix(w.req, choice)
	s.recordPrompt(w.req, choice)
	w.reply.placed(s, choice, w.req.Request)
}

func (s *state) rejectWaiters(rejections []ratelimit.Rejection) {
	for _, rejection := range rejections {
		w := s.permitWaiters[rejection.ID]
		delete(s.permitWaiters, rejection.ID)
		w.reply.unplaced(s, Assignment{RateLimited: true, RetryAfter: rejection.RetryAfter})
	}
}

// servePermitWaiters hands the permits of a pool to the requests that wait, and rejects those that
// cannot wait any longer. If the pool has other targets by now, the requests go there.
func (s *state) servePermitWaiters(pool core.PoolID) {
	gate := s.gate(pool)
	if len(s.permitted(s.candidates(pool), false)) > 0 {
		for _, w := range gate.TakeAll() {
			s.serveWaiter(w.ID)
		}
	}
	for {
		supply, _ := s.supply(pool, nil)
		next, ok := gate.Next(supply, s.now())
		if !ok {
			break
		}
		s.serveWaiter(next.ID)
	}
	supply, _ := s.supply(pool, nil)
	s.rejectWaiters(gate.Expire(supply, s.now()))
	s.schedulePermits(pool)
}

// schedulePermits sets a timer for the next permit of a pool, or for the first request that cannot wait
// longer, if any request waits.
func (s *state) schedulePermits(pool core.PoolID) {
	gate := s.gate(pool)
	if gate.Len() == 0 || s.permitTimers[pool] {
		return
	}
	supply, _ := s.supply(pool, nil)
	delay := max(min(supply.NextIn, gate.Due()-s.now()), minPermitDelay)
	s.permitTimers[pool] = true
	time.AfterFunc(delay, func() { s.options.post(permitsDueEvent{pool: pool}) })
}
