package pool

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/fairness"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// schedule refuses requests whose queue budget has ended and grants those that fit, in the
// order of the queue.
func (p *Pool) schedule(now time.Time) []Effect {
	p.lastEvent = now
	if p.queue.Len() == 0 {
		p.rate.SetWaiting(false, now)
		return nil
	}
	effects := append(p.expire(now), p.grantFitting(now)...)
	p.rate.SetWaiting(p.queue.Len() > 0, now)
	return effects
}

// grantFitting grants the requests that fit and counts them in the measured rate.
func (p *Pool) grantFitting(now time.Time) []Effect {
	var granted []Effect
	for {
		grant, ok := p.grantNext(now)
		if !ok {
			p.rate.RecordGrants(len(granted), now)
			return granted
		}
		granted = append(granted, grant)
	}
}

// grantNext grants the first queued request that fits. Later requests may overtake one
// that does not fit. After bypassWindow the target closest to having room is reserved for
// it, so that large requests are not starved.
func (p *Pool) grantNext(now time.Time) (Effect, bool) {
	if !p.anyFree() {
		return nil, false
	}
	var reserved *targetState
	for _, entry := range p.queue.Heads() {
		target, closest := p.choose(entry.Request, reserved, now)
		if target != nil {
			return p.grant(entry, target, now), true
		}
		if entry.BlockedAt.IsZero() {
			entry.BlockedAt = now
		}
		if reserved == nil && now.Sub(entry.BlockedAt) > bypassWindow {
			reserved = closest
		}
	}
	return nil, false
}

func (p *Pool) anyFree() bool {
	for _, target := range p.order {
		if target.free() > 0 {
			return true
		}
	}
	return false
}

// choose returns the target that should run the request, or nil if none has room. It
// prefers the target that probably caches the prompt's prefix, and otherwise takes the one
// with the lowest forecast load. It also returns the target that is closest to having
// room. It skips the reserved target.
func (p *Pool) choose(request core.TicketRequest, reserved *targetState, now time.Time) (best, closest *targetState) {
	stream := p.requestedStream(request)
	hinted := p.hints.Get(request.PrefixHash)
	lowest := math.Inf(1)
	for _, target := range p.order {
		avoided := target.spec.ID == request.Avoid && p.anyAlternative(target)
		if avoided || target == reserved || !target.usable() {
			continue
		}
		load, fits := p.loadWith(target, stream, now)
		if fits && target.spec.ID == hinted {
			return target, target
		}
		if load < lowest {
			lowest, closest, best = load, target, nil
			if fits {
				best = target
			}
		}
	}
	return best, closest
}

// anyAlternative reports whether the pool has another target that may serve the request
// now or later.
func (p *Pool) anyAlternative(avoided *targetState) bool {
	for _, target := range p.order {
		if target != avoided && target.accepts && target.reachable && !target.leaving {
			return true
		}
	}
	return false
}

// loadWith returns the share of the target in use if the stream ran too, and whether the
// stream fits. A target with memory but no free stream counts as full.
func (p *Pool) loadWith(target *targetState, stream forecast.Stream, now time.Time) (float64, bool) {
	memory := target.memory()
	if memory <= 0 {
		return float64(target.inUse()+1) / float64(max(target.limit.Streams(), 1)), target.free() > 0
	}
	profile := *p.profile(target, now)
	profile.Add(stream)
	load := float64(profile.Peak(p.margin.Z())) / float64(memory)
	if target.free() == 0 {
		return max(load, 1), false
	}
	return load, load <= 1 || (target.inUse() == 0 && stream.Context < memory)
}

// requestedStream returns the forecast input of a request that does not run yet.
func (p *Pool) requestedStream(request core.TicketRequest) forecast.Stream {
	return forecast.Stream{
		Survival: p.estimator.Survival(keyOf(request)),
		Context:  request.PromptTokens,
		Limit:    limitOf(request, p.settings),
	}
}

func (p *Pool) grant(entry *fairness.Entry, target *targetState, now time.Time) Effect {
	request := entry.Request
	stream := p.requestedStream(request)
	charged := request.PromptTokens + stream.Survival.Remaining(0, stream.Limit)
	p.queue.Serve(request.Generation, charged)
	p.answered.Add(request.Generation, now)
	p.hints.Set(request.PrefixHash, target.spec.ID)
	ticket := &ticketState{
		request:   request,
		target:    target.spec.ID,
		grantedAt: now,
		lastStart: now.Add(startWindow),
		outputAt:  now,
		charged:   charged,
	}
	p.tickets[request.Generation] = ticket
	target.tickets.Add(ticket)
	if !target.dirty {
		target.profile.Add(stream)
	}
	return Grant{Request: request, Ticket: p.ticketFor(entry, target, now)}
}

// ticketFor creates the ticket. The holder counts ValidFor from before it sent the
// request, so the time in the queue is added. However long the request's transit took, the
// holder's time to start ends earlier than the owner assumes.
func (p *Pool) ticketFor(entry *fairness.Entry, target *targetState, now time.Time) core.Ticket {
	return core.Ticket{
		Generation:  entry.Request.Generation,
		Owner:       p.self,
		Target:      target.spec.ID,
		Address:     target.spec.Address,
		Incarnation: target.incarnation,
		Fence:       target.fence,
		Priority:    entry.Request.Priority,
		ValidFor:    now.Sub(entry.EnqueuedAt) + startWindow,
	}
}
