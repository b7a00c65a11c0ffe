package pool

import (
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/fairness"
)

// RequestTicket takes a request for a ticket. It is granted at once, refused at once, or waits
// until it is granted or its budget ends. A repeated demand changes nothing.
func (p *Pool) RequestTicket(demand core.TicketRequest, now time.Time) []Effect {
	id := demand.Generation
	if p.tickets[id] != nil || p.queue.Has(id) || p.answered.Has(id) {
		return nil
	}
	effects := p.schedule(now)
	if refusal := p.turnAway(demand, now); refusal != nil {
		return append(effects, p.refuse(demand, *refusal, now))
	}
	p.queue.Push(demand, now)
	effects = append(effects, p.grantFitting(now)...)
	return append(effects, p.schedule(now)...)
}

// WithdrawRequest takes back a demand whose caller has left. If a ticket has been granted
// meanwhile it stays in use until the entry host closes it or the target settles it.
func (p *Pool) WithdrawRequest(id core.GenerationID, now time.Time) []Effect {
	p.answered.Add(id, now)
	if p.queue.Remove(id) != nil {
		return p.schedule(now)
	}
	if ticket := p.tickets[id]; ticket != nil {
		ticket.orphan(p.releaseAt(now))
	}
	return nil
}

// turnAway returns the refusal of a demand that must not wait, or nil.
func (p *Pool) turnAway(demand core.TicketRequest, now time.Time) *core.Refusal {
	if !p.anyAccepts() {
		return notRun(core.RefusedNoCapacity, "no target of "+string(p.id)+" takes new work here", minRetryAfter)
	}
	if p.tooLarge(demand) {
		return notRun(core.RefusedTooLarge, fmt.Sprintf("a prompt of %d tokens fits no target", demand.PromptTokens), 0)
	}
	if p.queue.Len() == 0 {
		return nil
	}
	position := p.queue.Position(demand.Team, demand.Priority)
	wait, measured := p.rate.Wait(position, now)
	if p.queue.Len() >= max(p.settings.QueueEntries, 1) {
		return notRun(core.RefusedQueueFull, "too many requests wait", retryAfter(wait))
	}
	if measured && wait > demand.QueueBudget {
		return notRun(core.RefusedQueueTimeout, "the wait would exceed the budget", retryAfter(wait-demand.QueueBudget))
	}
	return nil
}

func (p *Pool) anyAccepts() bool {
	for _, target := range p.order {
		if target.accepts && !target.leaving {
			return true
		}
	}
	return false
}

// tooLarge reports whether the prompt leaves no room for a token on any target.
func (p *Pool) tooLarge(demand core.TicketRequest) bool {
	for _, target := range p.order {
		memory := target.memory()
		if bound := target.kind.MaxContextTokens; bound > 0 && (memory <= 0 || bound < memory) {
			memory = bound
		}
		if memory <= 0 || demand.PromptTokens < memory {
			return false
		}
	}
	return true
}

// expire refuses the requests whose budget has ended, and all of them if no target is
// left that could ever serve them.
func (p *Pool) expire(now time.Time) []Effect {
	var effects []Effect
	stranded := !p.anyAccepts()
	over := p.queue.Filter(func(e *fairness.Entry) bool { return stranded || !now.Before(e.Deadline()) })
	for _, entry := range over {
		p.queue.Remove(entry.Demand.Generation)
		effects = append(effects, p.refuse(entry.Demand, p.reason(entry, stranded, now), now))
	}
	return effects
}

func (p *Pool) reason(entry *fairness.Entry, stranded bool, now time.Time) core.Refusal {
	if stranded {
		return *notRun(core.RefusedNoCapacity, "no target of "+string(p.id)+" takes new work here any more", minRetryAfter)
	}
	wait, _ := p.rate.Wait(p.queue.Position(entry.Demand.Team, entry.Demand.Priority), now)
	return *notRun(core.RefusedQueueTimeout, "no target had room within the budget", retryAfter(wait-entry.Demand.QueueBudget))
}

func (p *Pool) refuse(demand core.TicketRequest, refusal core.Refusal, now time.Time) Effect {
	p.answered.Add(demand.Generation, now)
	return Refuse{Generation: demand.Generation, EntryHost: demand.EntryHost, Refusal: refusal}
}

func notRun(kind core.RefusalKind, text string, after time.Duration) *core.Refusal {
	return &core.Refusal{Kind: kind, Message: text, Run: core.NotRun, RetryAfter: after}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
