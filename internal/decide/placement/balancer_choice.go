package placement

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

const (
	// remotePenalty is added for a service in another data centre: traffic between data
	// centres is costly, and each call takes a little longer.
	remotePenalty = 0.25
	// remoteEnginePenalty is added for an engine in another data centre: a stream within
	// its data centre continues when the data centre is cut off from the others.
	remoteEnginePenalty = 0.3
	// transferPenalty is added instead if the generation's KV cache has to be transferred
	// to the other data centre first.
	transferPenalty = 0.5
	// sameDataCentrePenalty is added to the holder of a copy that is in the data centre of
	// the generation: targets of one data centre fail together.
	sameDataCentrePenalty = 0.2
	// overcommitPenalty weighs the share of a target's memory by which forecasts exceed
	// fullMemoryShare: the engine would preempt its newest generations and prefill them again.
	overcommitPenalty = 10.0
	// fullMemoryShare is the share of a target's memory from which it counts as full.
	fullMemoryShare = 0.97
	// slowPrefill is the number of pending prompt tokens from which the first event is
	// late; a prompt token takes an eighth of a millisecond beside other generations.
	slowPrefill = 10_000
	// slowPrefillPenalty is added for each prefillScale by which the pending prompt tokens
	// exceed slowPrefill.
	slowPrefillPenalty = 5.0
	// maxMemoryShare is the share of a target's memory that forecasts may reach before a
	// request waits. It is above 1 because forecasts count each generation at its final
	// size, so that less memory is in use at any one time.
	maxMemoryShare = 1.08
	// prefillScale is the number of pending prompt tokens that weighs as much as a full
	// memory: their prefill takes most of a second and slows down all running generations.
	prefillScale = 12_000
	// failurePenalty is the score added for a failure rate of 1.
	failurePenalty = 2.0
	// copyMemoryShare is the share of a target's memory up to which copies are added, so
	// that they do not displace the generations that run there.
	copyMemoryShare = 0.85
	// totalCopyMemoryShare is the share of the memory of all candidates together up to which
	// copies are added. Copies also use the links on which KV caches are moved, and when
	// targets leave, the others have to take over their generations.
	totalCopyMemoryShare = 0.5
	// limitedPenalty is added for a target that names a limit, so that others with room take
	// requests first.
	limitedPenalty = 0.5
	// avoidPenalty ranks avoided targets behind all others.
	avoidPenalty = 1000.0
)

// ExceedsMemory reports whether the request's forecast memory does not fit on a target.
func (b *Balancer) ExceedsMemory(c Candidate, request Request) bool {
	load := b.load(c.Target)
	return c.Memory > 0 && float64(load.Memory+load.Copies+request.Memory) > maxMemoryShare*float64(c.Memory)
}

// Choose returns the target for a request, and the target for its copy if the request
// wants one and there is room for it. It returns false if no candidate is left.
func (b *Balancer) Choose(candidates []Candidate, request Request, now time.Duration) (Choice, bool) {
	request.query = b.prefixes.Query(request.Prefix)
	score, paced := b.score, pacedScore{balancer: b}
	if request.GapGoal > 0 {
		score = paced.score
	}
	target := b.best(sample(candidates, request.ID), request, now, score)
	if target == nil && len(candidates) > sampleSize {
		target = b.best(candidates, request, now, score)
	}
	if target == nil {
		return Choice{}, false
	}
	choice := Choice{Target: *target, ExpectedCached: b.expectedCached(target, request, now), Avoided: paced.avoided(target, request, now).Target}
	if request.WantsCopy {
		if holder, ok := b.ChooseCopy(candidates, request, target.Target, now); ok {
			choice.Copy = holder
		}
	}
	return choice, true
}

// ChooseCopy returns the target that should keep a copy of a generation running on
// another target. It returns false if there is no room for a copy.
func (b *Balancer) ChooseCopy(candidates []Candidate, request Request, running core.TargetID, now time.Duration) (Candidate, bool) {
	request.Avoid = append([]core.TargetID{running}, request.Avoid...)
	for _, candidate := range candidates {
		if candidate.Target == running {
			request.CopyAwayFrom = candidate.DataCentre
		}
	}
	candidates = sample(withoutLimited(candidates), request.ID)
	holder := b.best(candidates, request, now, b.copyScore)
	if holder == nil {
		return Candidate{}, false
	}
	load := b.load(holder.Target)
	if b.memoryShare(candidates) > totalCopyMemoryShare || float64(load.Memory+load.Copies+request.Memory) > copyMemoryShare*float64(holder.Memory) || b.Avoided(holder.Target, now) {
		return Candidate{}, false
	}
	return *holder, true
}

// withoutLimited returns the candidates that name no limit.
func withoutLimited(candidates []Candidate) []Candidate {
	isLimited := func(c Candidate) bool { return c.Limited }
	if !slices.ContainsFunc(candidates, isLimited) {
		return candidates
	}
	return slices.DeleteFunc(slices.Clone(candidates), isLimited)
}

// memoryShare returns the share of the candidates' total memory that is forecast to be
// in use.
func (b *Balancer) memoryShare(candidates []Candidate) float64 {
	var used, all core.Tokens
	for i := range candidates {
		load := b.load(candidates[i].Target)
		used, all = used+load.Memory+load.Copies, all+candidates[i].Memory
	}
	return float64(used) / float64(max(all, 1))
}

// best returns the candidate with the lowest score, or nil if the request avoids all of
// them. The request's ID breaks ties, so that requests spread over equal targets.
func (b *Balancer) best(candidates []Candidate, request Request, now time.Duration, score func(*Candidate, Request, time.Duration) float64) *Candidate {
	var best *Candidate
	lowest, lowestTie := 0.0, uint64(0)
	for i := range candidates {
		candidate := &candidates[i]
		if request.avoids(candidate.Target) {
			continue
		}
		value, tie := score(candidate, request, now), xxhash.Sum64String(request.ID+string(candidate.Target))
		if best == nil || value < lowest || value == lowest && tie < lowestTie {
			best, lowest, lowestTie = candidate, value, tie
		}
	}
	return best
}

// score returns a low value for a lightly loaded, nearby and healthy target.
func (b *Balancer) score(c *Candidate, request Request, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Requests) / float64(max(c.Slots, 1))
	if c.Memory > 0 {
		share := float64(load.Memory+load.Copies+request.Memory) / float64(c.Memory)
		pending := load.PendingPrefill + request.Prompt
		value = max(value, share) + overcommitPenalty*max(share-fullMemoryShare, 0)
		value += float64(pending)/prefillScale + slowPrefillPenalty*max(float64(pending-slowPrefill), 0)/prefillScale
	}
	if c.Limited {
		value += limitedPenalty
	}
	return value + distancePenalty(c, request) + b.healthPenalty(c, now) - prefixCredit(c, request, load, now)
}

// copyScore returns a low value for a healthy target with free memory outside the data
// centre of the running generation.
func (b *Balancer) copyScore(c *Candidate, request Request, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Memory+load.Copies)/float64(max(c.Memory, 1)) + b.healthPenalty(c, now)
	if c.DataCentre == request.CopyAwayFrom {
		value += sameDataCentrePenalty
	}
	return value
}

// distancePenalty returns the penalty of a target in another data centre.
func distancePenalty(c *Candidate, request Request) float64 {
	switch {
	case c.DataCentre == request.DataCentre:
		return 0
	case request.TransfersMemory:
		return transferPenalty
	case c.Memory > 0:
		return remoteEnginePenalty
	default:
		return remotePenalty
	}
}

// healthPenalty returns the penalty for a target's failures, for avoiding it after failed
// attempts, and for a data centre that seems to be cut off.
func (b *Balancer) healthPenalty(c *Candidate, now time.Duration) float64 {
	value := 0.0
	if b.CutOff(c.DataCentre, now) {
		value += avoidPenalty / 2
	}
	failures := b.hubRates[c.Target]
	if health := b.health[c.Target]; health != nil {
		failures = max(failures, health.ownRate.at(now))
		if shared := health.sharedRate.at(now); shared >= minSharedRate {
			failures = max(failures, shared)
		}
	}
	value += failurePenalty * failures
	if b.Avoided(c.Target, now) {
		value += avoidPenalty
	}
	return value
}
