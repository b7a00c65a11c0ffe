package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// profile returns the memory forecast of the streams on the target. It is reused for up to
// profileTTL unless the target has changed.
func (p *Pool) profile(target *targetState, now time.Time) *forecast.Profile {
	if !target.dirty && target.profileAt.Equal(now) {
		return &target.profile
	}
	if !target.dirty && now.Sub(target.profileAt) < profileTTL {
		return &target.profile
	}
	target.profile = forecast.Profile{}
	for _, ticket := range target.tickets.ordered {
		target.profile.Add(p.runningStream(target, ticket, now))
	}
	p.addForeign(target)
	target.profileAt = now
	target.dirty = false
	return &target.profile
}

// addForeign adds the streams without a ticket here, whose request and output length are
// unknown.
func (p *Pool) addForeign(target *targetState) {
	unknown := p.estimator.Survival(forecast.Key{})
	for _, stream := range target.foreign {
		target.profile.Add(forecast.Stream{Survival: unknown, Context: stream.Context, Limit: p.settings.MaxTokens})
	}
}

// runningStream returns the forecast input of a stream in use. Its size is the last
// reported one plus the estimated growth since then, because reports arrive late.
func (p *Pool) runningStream(target *targetState, ticket *ticketState, now time.Time) forecast.Stream {
	limit := limitOf(ticket.request, p.settings)
	output := ticket.output + target.estimateGrowth(ticket.outputAt, now, ticket.output > 0)
	if ticket.context > 0 {
		listed := ticket.context - ticket.request.PromptTokens
		output = max(output, listed+target.estimateGrowth(ticket.contextAt, now, listed > 0))
	}
	output = min(output, limit)
	return forecast.Stream{
		Survival: p.estimator.Survival(keyOf(ticket.request)),
		Context:  ticket.request.PromptTokens + output,
		Output:   output,
		Limit:    limit,
	}
}

// estimateGrowth estimates the tokens that a stream has produced since its last report.
func (t *targetState) estimateGrowth(since, now time.Time, started bool) core.Tokens {
	if !started || !now.After(since) {
		return 0
	}
	passed := min(now.Sub(since), maxExtrapolation)
	return core.Tokens(float64(passed.Milliseconds()) / t.tokenGapMS)
}

// RecordProgress records the output of running generations.
func (p *Pool) RecordProgress(streams []core.Progress, now time.Time) []Effect {
	for _, progress := range streams {
		ticket := p.tickets[progress.Generation]
		if ticket == nil || progress.Output <= ticket.output {
			continue
		}
		target := p.targets[ticket.target]
		target.measureTokenGap(ticket, progress.Output, now)
		p.chargeExcess(ticket, progress.Output)
		ticket.output = progress.Output
		ticket.outputAt = now
		target.dirty = true
	}
	return p.schedule(now)
}

// chargeExcess charges a team for tokens beyond those already charged for the ticket.
func (p *Pool) chargeExcess(ticket *ticketState, output core.Tokens) {
	actual := ticket.request.PromptTokens + output
	if actual > ticket.charged {
		p.queue.Charge(ticket.request.Team, actual-ticket.charged)
		ticket.charged = actual
	}
}

// measureTokenGap updates the average time between tokens from one stream's progress.
func (t *targetState) measureTokenGap(ticket *ticketState, output core.Tokens, now time.Time) {
	tokens := output - ticket.output
	passed := now.Sub(ticket.outputAt)
	if ticket.output == 0 || passed <= 0 || tokens <= 0 {
		return
	}
	gap := float64(passed.Milliseconds()) / float64(tokens)
	t.tokenGapMS += (min(max(gap, minTokenGapMS), maxTokenGapMS) - t.tokenGapMS) * tokenGapWeight
}

// RecordFirstToken records the time to a generation's first token. A time above the bound
// of the target's kind shows that the target is cold.
func (p *Pool) RecordFirstToken(id core.GenerationID, milliseconds int64, now time.Time) []Effect {
	ticket := p.tickets[id]
	if ticket == nil {
		return nil
	}
	target := p.targets[ticket.target]
	if target.firstTokenLate(milliseconds) {
		target.resetToCold(now)
	}
	return p.schedule(now)
}

func (t *targetState) firstTokenLate(milliseconds int64) bool {
	return t.kind.FirstTokenMS > 0 && milliseconds > t.kind.FirstTokenMS
}

// CloseTicket ends the use of a ticket. A close that is unknown, repeated or names another
// target changes nothing. After a failed or abandoned attempt the target may still run the
// stream, so the ticket stays in use until the target's reports show that it has ended.
func (p *Pool) CloseTicket(outcome core.Outcome, now time.Time) []Effect {
	ticket := p.tickets[outcome.Generation]
	if ticket == nil || ticket.target != outcome.Target {
		return nil
	}
	target := p.targets[ticket.target]
	switch outcome.Result {
	case core.Completed:
		p.recordCompletion(target, ticket, outcome, now)
		p.release(target, ticket, outcome.Output)
		p.closed.Add(outcome.Generation, now)
	case core.Cancelled, core.Unused:
		p.release(target, ticket, outcome.Output)
		p.closed.Add(outcome.Generation, now)
	default:
		ticket.output = max(ticket.output, outcome.Output)
		ticket.orphan(p.releaseAt(now))
	}
	return p.schedule(now)
}

// recordCompletion updates the length estimates, the safety margin and the stream limit
// after a completed stream.
func (p *Pool) recordCompletion(target *targetState, ticket *ticketState, outcome core.Outcome, now time.Time) {
	if target.memory() > 0 && outcome.Output > 0 {
		p.estimator.Observe(keyOf(ticket.request), outcome.Output)
		p.lowerMargin()
	}
	if target.firstTokenLate(outcome.FirstTokenMS) {
		target.resetToCold(now)
		return
	}
	if target.kind.TokenGapMS > 0 && outcome.WorstTokenGapMS > target.kind.TokenGapMS {
		target.healthyTime = 0
		return
	}
	if !ticket.grantedAt.Before(target.coldSince) {
		target.addHealthyTime(now.Sub(ticket.grantedAt))
	}
}

// lowerMargin lets a completed stream lower the safety margin if requests wait.
func (p *Pool) lowerMargin() {
	if p.queue.Len() > 0 {
		p.margin.RecordCompletion()
	}
}

// release ends the use of a ticket and corrects its team's charge to the tokens used.
func (p *Pool) release(target *targetState, ticket *ticketState, output core.Tokens) {
	id := ticket.request.Generation
	actual := core.Tokens(0)
	if output = max(output, ticket.output); output > 0 {
		actual = ticket.request.PromptTokens + output
	}
	p.queue.Charge(ticket.request.Team, actual-ticket.charged)
	delete(p.tickets, id)
	target.tickets.Remove(ticket)
	target.dirty = true
}
