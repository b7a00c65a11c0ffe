package pool

import (
	"fmt"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/fairness"
)

// RequestTicket grants or refuses a request for a ticket at once, or queues it until it is
// granted or its queue budget ends. A repeated request changes nothing.
func (p *Pool) RequestTicket(request core.TicketRequest, now time.Time) []Effect {
	id := request.Generation
	if p.tickets[id] != nil || p.queue.Has(id) || p.answered.Has(id) {
		return nil
	}
	effects := p.schedule(now)
	if refusal := p.checkAdmission(request, now); refusal != nil {
		return append(effects, p.refuse(request, *refusal, now))
	}
	p.queue.Push(request, now)
	effects = append(effects, p.grantFitting(now)...)
	return append(effects, p.schedule(now)...)
}

// WithdrawRequest removes a request whose caller has left. If a ticket has been granted
// meanwhile, it stays in use until the entry host closes it or the target's reports show
// that the stream has ended.
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

// checkAdmission returns the refusal of a request that must not be queued, or nil.
func (p *Pool) checkAdmission(request core.TicketRequest, now time.Time) *core.Refusal {
	if !p.anyAccepting() {
		return newRefusal(core.RefusedNoCapacity, "no target of "+string(p.id)+" takes new work here", minRetryAfter)
	}
	if p.tooLarge(request) {
		return newRefusal(core.RefusedTooLarge, fmt.Sprintf("a prompt of %d tokens fits no target", request.PromptTokens), 0)
	}
	if p.queue.Len() == 0 {
		return nil
	}
	position := p.queue.Position(request.Team, request.Priority)
	wait, measured := p.rate.EstimateWait(position, now)
	if p.queue.Len() >= max(p.settings.QueueEntries, 1) {
		return newRefusal(core.RefusedQueueFull, "too many requests wait", retryAfter(wait))
	}
	if measured && wait > request.QueueBudget {
		return newRefusal(core.RefusedQueueTimeout, "the wait would exceed the budget", retryAfter(wait-request.QueueBudget))
	}
	return nil
}

func (p *Pool) anyAccepting() bool {
	for _, target := range p.order {
		if target.accepts && !target.leaving {
			return true
		}
	}
	return false
}

// tooLarge reports whether the prompt leaves no room for a token of output on any target.
func (p *Pool) tooLarge(request core.TicketRequest) bool {
	for _, target := range p.order {
		memory := target.memory()
		if bound := target.kind.MaxContextTokens; bound > 0 && (memory <= 0 || bound < memory) {
			memory = bound
		}
		if memory <= 0 || request.PromptTokens < memory {
			return false
		}
	}
	return true
}

// expire refuses the requests whose queue budget has ended, or all requests if no target
// accepts work any more.
func (p *Pool) expire(now time.Time) []Effect {
	var effects []Effect
	noTarget := !p.anyAccepting()
	over := p.queue.Filter(func(e *fairness.Entry) bool { return noTarget || !now.Before(e.Deadline()) })
	for _, entry := range over {
		p.queue.Remove(entry.Request.Generation)
		effects = append(effects, p.refuse(entry.Request, p.expiryRefusal(entry, noTarget, now), now))
	}
	return effects
}

func (p *Pool) expiryRefusal(entry *fairness.Entry, noTarget bool, now time.Time) core.Refusal {
	if noTarget {
		return *newRefusal(core.RefusedNoCapacity, "no target of "+string(p.id)+" takes new work here any more", minRetryAfter)
	}
	wait, _ := p.rate.EstimateWait(p.queue.Position(entry.Request.Team, entry.Request.Priority), now)
	return *newRefusal(core.RefusedQueueTimeout, "no target had room within the budget", retryAfter(wait-entry.Request.QueueBudget))
}

func (p *Pool) refuse(request core.TicketRequest, refusal core.Refusal, now time.Time) Effect {
	p.answered.Add(request.Generation, now)
	return Refuse{Generation: request.Generation, EntryHost: request.EntryHost, Refusal: refusal}
}

func newRefusal(kind core.RefusalKind, text string, after time.Duration) *core.Refusal {
	return &core.Refusal{Kind: kind, Message: text, Run: core.NotRun, RetryAfter: after}
}

func retryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}
