package pool

import (
	"math"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/fairness"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// schedule refuses what has waited too long and grants what fits, in the queue's order.
func (p *Pool) schedule(now time.Time) []Effect {
	p.at = now
	if p.queue.Len() == 0 {
		p.rate.Waiting(false, now)
		return nil
	}
	effects := append(p.expire(now), p.grantFitting(now)...)
	p.rate.Waiting(p.queue.Len() > 0, now)
	return effects
}

// grantFitting grants what fits, and measures how fast the queue moves.
func (p *Pool) grantFitting(now time.Time) []Effect {
	var granted []Effect
	for {
		grant, ok := p.grantNext(now)
		if !ok {
			p.rate.Served(len(granted), now)
			return granted
		}
		granted = append(granted, grant)
	}
}

// grantNext grants the first waiting request that fits. Later requests may overtake one
// that does not fit, but after a short time the target that comes closest to taking it is
// kept for it, so that large requests are not starved.
func (p *Pool) grantNext(now time.Time) (Effect, bool) {
	if !p.anyFree() {
		return nil, false
	}
	var reserved *targetState
	for _, entry := range p.queue.Heads() {
		target, closest := p.choose(entry.Demand, reserved, now)
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

// choose returns the target that should run the request, or nil if none has room: the
// one that probably holds the prompt's prefix, else the one with the lowest forecast. It
// also returns the target that comes closest. A reserved target is left out.
func (p *Pool) choose(demand core.TicketRequest, reserved *targetState, now time.Time) (best, closest *targetState) {
	stream := p.wanted(demand)
	hinted := p.hints.Get(demand.PrefixHash)
	lowest := math.Inf(1)
	for _, target := range p.order {
		avoided := target.spec.ID == demand.Avoid && p.anyOther(target)
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

// anyOther reports whether another target of the pool could serve sooner or later.
func (p *Pool) anyOther(avoided *targetState) bool {
	for _, target := range p.order {
		if target != avoided && target.accepts && target.reachable && !target.leaving {
			return true
		}
	}
	return false
}

// loadWith returns the share of the target that is in use once the stream runs too, and
// whether it fits. A target with memory but no free stream counts as full.
func (p *Pool) loadWith(target *targetState, stream forecast.Stream, now time.Time) (float64, bool) {
	memory := target.memory()
	if memory <= 0 {
		return float64(target.inUse()+1) / float64(max(target.limit.Streams(), 1)), target.free() > 0
	}
	profile := *p.profile(target, now)
	profile.Add(stream)
	load := float64(profile.Peak(p.safety.Z())) / float64(memory)
	if target.free() == 0 {
		return max(load, 1), false
	}
	return load, load <= 1 || (target.inUse() == 0 && stream.Context < memory)
}

// wanted returns the forecast of a request that does not run yet.
func (p *Pool) wanted(demand core.TicketRequest) forecast.Stream {
	return forecast.Stream{
		Survival: p.book.Survival(keyOf(demand)),
		Context:  demand.PromptTokens,
		Limit:    limitOf(demand, p.settings),
	}
}

func (p *Pool) grant(entry *fairness.Entry, target *targetState, now time.Time) Effect {
	demand := entry.Demand
	stream := p.wanted(demand)
	charged := demand.PromptTokens + stream.Survival.Remaining(0, stream.Limit)
	p.queue.Serve(demand.Generation, charged)
	p.answered.Add(demand.Generation, now)
	p.hints.Set(demand.PrefixHash, target.spec.ID)
	ticket := &ticketState{
		demand:    demand,
		target:    target.spec.ID,
		grantedAt: now,
		lastStart: now.Add(startWindow),
		outputAt:  now,
		charged:   charged,
	}
	p.tickets[demand.Generation] = ticket
	target.tickets.Add(ticket)
	if !target.dirty {
		target.profile.Add(stream)
	}
	return Grant{Demand: demand, Ticket: p.ticketFor(entry, target, now)}
}

// ticketFor makes the ticket. The holder counts its validity from before it sent the
// demand, so the time that the request has waited is added: whatever the demand's
// transit took, the holder stops earlier than the owner assumes.
func (p *Pool) ticketFor(entry *fairness.Entry, target *targetState, now time.Time) core.Ticket {
	return core.Ticket{
		Generation:  entry.Demand.Generation,
		Owner:       p.self,
		Target:      target.spec.ID,
		Address:     target.spec.Address,
		Incarnation: target.incarnation,
		Fence:       target.fence,
		Priority:    entry.Demand.Priority,
		ValidFor:    now.Sub(entry.EnqueuedAt) + startWindow,
	}
}
