package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

const (
	// latePenalty weighs the probability that a pause of the stream is late, and causedPenalty each running stream
	// that its prompt makes late.
	latePenalty   = 4.0
	causedPenalty = 6.0
	// maxLatePenalty bounds both together, so that failures weigh more.
	maxLatePenalty = 6.0
	// fullPenalty is added for an engine without memory for the request: it would wait there, although engines at which
	// more streams become late may have room.
	fullPenalty = 2 * maxLatePenalty
	// limitPenalty weighs the share of the memory by which forecasts exceed the learned limit.
	limitPenalty = 10.0
	// slowPrefillWeight weighs the additional time in which a slow engine reads in the pending prompts.
	slowPrefillWeight = 1.0
	// troublePenalty is added for an engine of which all pauses are late, such as a silent one.
	troublePenalty = 4.0
)

// RecordPace records what was seen of the events of an engine. If a preemption has lowered the learned limit of the
// engine's memory, it returns the limit as a share of the memory, otherwise zero.
func (b *Balancer) RecordPace(pool core.PoolID, c Candidate, sums pace.Sums, now time.Duration) float64 {
	return b.pace.Record(pool, c.Target, sums, paceLoad(&c, b.load(c.Target)), now)
}

// RecordPrompt records that a request with a prompt was placed at an engine, before its load is added.
func (b *Balancer) RecordPrompt(choice Choice, request Request, now time.Duration) {
	c := choice.Target
	b.pace.RecordPrompt(request.Pool, c.Target, paceLoad(&c, b.load(c.Target)), request.promptToRead()-choice.ExpectedCached, now)
}

// Pace forecasts what a stream would meet and cause at an engine. It returns false if too little is known.
func (b *Balancer) Pace(c Candidate, request Request) (pace.Forecast, bool) {
	return b.forecastPace(&c, request, paceLoad(&c, b.load(c.Target)))
}

// PaceSummary returns what is known of the engines of a pool. It returns false if that is too little.
func (b *Balancer) PaceSummary(pool core.PoolID) (pace.Summary, bool) { return b.pace.Summary(pool) }

func paceLoad(c *Candidate, load Load) pace.Load {
	return pace.Load{Requests: load.Requests, PendingPrefill: load.PendingPrefill, MemoryShare: float64(load.Memory+load.Copies) / float64(max(c.Memory, 1))}
}

func (b *Balancer) forecastPace(c *Candidate, request Request, load pace.Load) (pace.Forecast, bool) {
	stream := pace.Stream{Prompt: request.promptToRead(), Events: request.Events, Goal: request.GapGoal}
	return b.pace.Forecast(request.Pool, c.Target, load, stream)
}

// promptToRead returns the prompt tokens that an engine has to read in. Of memory that is moved it reads none.
func (r Request) promptToRead() core.Tokens {
	if r.TransfersMemory {
		return 0
	}
	return r.Prompt
}

// paceCost weighs the pauses that a stream would get and cause at an engine. It is zero if the pace of targets is not
// known.
func (b *Balancer) paceCost(c *Candidate, request Request) float64 {
	load := paceLoad(c, b.load(c.Target))
	f, known := b.forecastPace(c, request, load)
	if !known {
		return 0
	}
	share := load.MemoryShare + float64(request.Memory)/float64(max(c.Memory, 1))
	cost := min(latePenalty*f.Late+causedPenalty*f.Caused, maxLatePenalty)
	cost += limitPenalty * max(share-f.MemoryLimit, 0)
	if share > maxMemoryShare {
		cost += fullPenalty
	}
	cost += slowPrefillWeight * (f.Factor - 1) * float64(load.PendingPrefill+request.promptToRead()) / prefillScale
	return cost + troublePenalty*f.Trouble
}
