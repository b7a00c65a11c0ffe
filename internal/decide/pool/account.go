package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// profile returns the forecast of the streams that use the target.
func (p *Pool) profile(target *targetState, now time.Time) *forecast.Profile {
	if !target.dirty && target.profileAt.Equal(now) {
		return &target.profile
	}
	if !target.dirty && now.Sub(target.profileAt) < profileTTL {
		return &target.profile
	}
	target.profile = forecast.Profile{}
	for _, ticket := range target.tickets.ordered {
		target.profile.Add(p.running(target, ticket, now))
	}
	p.addForeign(target)
	target.profileAt = now
	target.dirty = false
	return &target.profile
}

// addForeign counts the streams whose length and request are not known here.
func (p *Pool) addForeign(target *targetState) {
	unknown := p.book.Survival(forecast.Key{})
	for _, stream := range target.foreign {
		target.profile.Add(forecast.Stream{Survival: unknown, Context: stream.Context, Limit: p.settings.MaxTokens})
	}
}

// running returns the forecast of a stream in use: its last known size and the growth
// since, as the news of it is late.
func (p *Pool) running(target *targetState, ticket *ticketState, now time.Time) forecast.Stream {
	limit := limitOf(ticket.demand, p.settings)
	output := ticket.output + target.grown(ticket.outputAt, now, ticket.output > 0)
	if ticket.context > 0 {
		listed := ticket.context - ticket.demand.PromptTokens
		output = max(output, listed+target.grown(ticket.contextAt, now, listed > 0))
	}
	output = min(output, limit)
	return forecast.Stream{
		Survival: p.book.Survival(keyOf(ticket.demand)),
		Context:  ticket.demand.PromptTokens + output,
		Output:   output,
		Limit:    limit,
	}
}

// grown estimates the tokens that a stream has produced since a moment.
func (t *targetState) grown(since, now time.Time, started bool) core.Tokens {
	if !started || !now.After(since) {
		return 0
	}
	passed := min(now.Sub(since), maxExtrapolation)
	return core.Tokens(float64(passed.Milliseconds()) / t.gapMS)
}

// RecordProgress takes the output of running generations.
func (p *Pool) RecordProgress(streams []core.Progress, now time.Time) []Effect {
	for _, progress := range streams {
		ticket := p.tickets[progress.Generation]
		if ticket == nil || progress.Output <= ticket.output {
			continue
		}
		target := p.targets[ticket.target]
		target.measureGap(ticket, progress.Output, now)
		p.chargeBeyond(ticket, progress.Output)
		ticket.output = progress.Output
		ticket.outputAt = now
		target.dirty = true
	}
	return p.schedule(now)
}

// chargeBeyond charges a team for output beyond what it was expected to take.
func (p *Pool) chargeBeyond(ticket *ticketState, output core.Tokens) {
	actual := ticket.demand.PromptTokens + output
	if actual > ticket.charged {
		p.queue.Charge(ticket.demand.Team, actual-ticket.charged)
		ticket.charged = actual
	}
}

// measureGap learns the time between tokens from one stream's progress.
func (t *targetState) measureGap(ticket *ticketState, output core.Tokens, now time.Time) {
	tokens := output - ticket.output
	passed := now.Sub(ticket.outputAt)
	if ticket.output == 0 || passed <= 0 || tokens <= 0 {
		return
	}
	gap := float64(passed.Milliseconds()) / float64(tokens)
	t.gapMS += (min(max(gap, minGapMS), maxGapMS) - t.gapMS) * gapLearning
}

// RecordFirstToken takes the time that a generation's first token took. One that is later than
// the bound of the target's kind shows that the target is cold.
func (p *Pool) RecordFirstToken(id core.GenerationID, milliseconds int64, now time.Time) []Effect {
	ticket := p.tickets[id]
	if ticket == nil {
		return nil
	}
	target := p.targets[ticket.target]
	if target.lateFirst(milliseconds) {
		target.fallCold(now)
	}
	return p.schedule(now)
}

func (t *targetState) lateFirst(milliseconds int64) bool {
	return t.kind.FirstTokenMS > 0 && milliseconds > t.kind.FirstTokenMS
}

// CloseTicket takes the end of a ticket's use. An unknown, repeated or crossed close changes
// nothing. After a failure or an abandonment the target may still run the stream, so the
// ticket stays in use until the target settles it.
func (p *Pool) CloseTicket(outcome core.Outcome, now time.Time) []Effect {
	ticket := p.tickets[outcome.Generation]
	if ticket == nil || ticket.target != outcome.Target {
		return nil
	}
	target := p.targets[ticket.target]
	switch outcome.Result {
	case core.Completed:
		p.learn(target, ticket, outcome, now)
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

// learn takes the evidence of a whole answer.
func (p *Pool) learn(target *targetState, ticket *ticketState, outcome core.Outcome, now time.Time) {
	if target.memory() > 0 && outcome.Output > 0 {
		p.book.Observe(keyOf(ticket.demand), outcome.Output)
		p.learnMargin()
	}
	if target.lateFirst(outcome.FirstTokenMS) {
		target.fallCold(now)
		return
	}
	if target.kind.TokenGapMS > 0 && outcome.WorstTokenGapMS > target.kind.TokenGapMS {
		target.healthy = 0
		return
	}
	if !ticket.grantedAt.Before(target.coldSince) {
		target.learnHealthy(now.Sub(ticket.grantedAt))
	}
}

// learnMargin counts a completed stream as evidence on the margin if requests wait.
func (p *Pool) learnMargin() {
	if p.queue.Len() > 0 {
		p.safety.RecordCompletion()
	}
}

// release ends the use of a ticket and settles its team's account.
func (p *Pool) release(target *targetState, ticket *ticketState, output core.Tokens) {
	id := ticket.demand.Generation
	actual := core.Tokens(0)
	if output = max(output, ticket.output); output > 0 {
		actual = ticket.demand.PromptTokens + output
	}
	p.queue.Charge(ticket.demand.Team, actual-ticket.charged)
	delete(p.tickets, id)
	target.tickets.Remove(ticket)
	target.dirty = true
}
