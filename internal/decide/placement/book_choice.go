package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"siskintide.example/siskintide/internal/core"
)

const (
	// awayPenalty is what a target in another data centre must be less loaded by: bytes
	// between data centres cost, and each call takes a little longer.
	awayPenalty = 0.25
	// awayMemoryPenalty is the same for generations: a stream within its data centre goes on
	// when that is cut off from the others.
	awayMemoryPenalty = 0.3
	// farMemoryPenalty is the same where memory has to get to the target first.
	farMemoryPenalty = 0.5
	// togetherPenalty is what a copy's holder in the data centre of the generation must be
	// less loaded by: targets of one data centre fail together.
	togetherPenalty = 0.2
	// overfullPenalty weighs each part of a target's memory by which forecasts exceed what is
	// full: the newest generations there would be preempted, and read in again.
	overfullPenalty = 10.0
	// fullMemory is the part of a target's memory from which it counts as full.
	fullMemory = 0.97
	// slowPrompts is the number of prompt tokens to be read from which the first event is
	// late; a prompt token takes an eighth of a millisecond beside other generations.
	slowPrompts = 10_000
	// slowPenalty weighs each promptScale by which prompts exceed that.
	slowPenalty = 5.0
	// crowdedMemory is the part of a target's memory that forecasts may reach before a
	// request waits. Forecasts count generations at their end, so that less is in use.
	crowdedMemory = 1.08
	// promptScale is the number of prompt tokens still to be read that weighs as much as a
	// full memory: reading them takes most of a second, and slows all that runs beside.
	promptScale = 12_000
	// failurePenalty weighs a failure rate against load.
	failurePenalty = 2.0
	// copyRoom is the part of a target's memory up to which copies are added, so that they
	// do not take the room of the generations that run there.
	copyRoom = 0.85
	// allCopyRoom is the part of the memory of all targets together up to which copies are
	// added. Copies also take the links that memory moves on, and when targets leave, the
	// others have to take their generations.
	allCopyRoom = 0.5
	// avoidPenalty ranks targets that are avoided behind all others.
	avoidPenalty = 1000.0
)

// ExceedsMemory reports whether a target has no room for the request's forecast memory.
func (b *Balancer) ExceedsMemory(c Candidate, need Request) bool {
	load := b.load(c.Target)
	return c.Memory > 0 && float64(load.Memory+load.Copies+need.Memory) > crowdedMemory*float64(c.Memory)
}

// Choose returns the target for a request, and one for its copy if it wants one and there
// is room. It is false if there is no candidate.
func (b *Balancer) Choose(candidates []Candidate, need Request, now time.Duration) (Choice, bool) {
	target := b.best(sample(candidates, need.ID), need, now, b.score)
	if target == nil && len(candidates) > sampleSize {
		target = b.best(candidates, need, now, b.score)
	}
	if target == nil {
		return Choice{}, false
	}
	choice := Choice{Target: *target}
	if need.WantsCopy {
		if holder, ok := b.ChooseCopy(candidates, need, target.Target, now); ok {
			choice.Copy = holder
		}
	}
	return choice, true
}

// ChooseCopy returns a target that may keep a copy of a generation that runs elsewhere.
func (b *Balancer) ChooseCopy(candidates []Candidate, need Request, running core.TargetID, now time.Duration) (Candidate, bool) {
	need.Avoid = append([]core.TargetID{running}, need.Avoid...)
	for _, candidate := range candidates {
		if candidate.Target == running {
			need.CopyAwayFrom = candidate.DataCentre
		}
	}
	candidates = sample(candidates, need.ID)
	holder := b.best(candidates, need, now, b.copyScore)
	if holder == nil {
		return Candidate{}, false
	}
	load := b.load(holder.Target)
	if b.share(candidates) > allCopyRoom || float64(load.Memory+load.Copies+need.Memory) > copyRoom*float64(holder.Memory) || b.Avoided(holder.Target, now) {
		return Candidate{}, false
	}
	return *holder, true
}

// share returns the part of the memory of all candidates that is forecast to be in use.
func (b *Balancer) share(candidates []Candidate) float64 {
	var used, all core.Tokens
	for i := range candidates {
		load := b.load(candidates[i].Target)
		used, all = used+load.Memory+load.Copies, all+candidates[i].Memory
	}
	return float64(used) / float64(max(all, 1))
}

func (b *Balancer) best(candidates []Candidate, need Request, now time.Duration, score func(*Candidate, Request, time.Duration) float64) *Candidate {
	var best *Candidate
	lowest, lowestTie := 0.0, uint64(0)
	for i := range candidates {
		candidate := &candidates[i]
		if need.avoids(candidate.Target) {
			continue
		}
		value, tie := score(candidate, need, now), xxhash.Sum64String(need.ID+string(candidate.Target))
		if best == nil || value < lowest || value == lowest && tie < lowestTie {
			best, lowest, lowestTie = candidate, value, tie
		}
	}
	return best
}

// score is low for a target that is little loaded, near and sound.
func (b *Balancer) score(c *Candidate, need Request, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Requests) / float64(max(c.Slots, 1))
	if c.Memory > 0 {
		share := float64(load.Memory+load.Copies+need.Memory) / float64(c.Memory)
		starting := load.PendingPrefill + need.Prompt
		value = max(value, share) + overfullPenalty*max(share-fullMemory, 0)
		value += float64(starting)/promptScale + slowPenalty*max(float64(starting-slowPrompts), 0)/promptScale
	}
	return value + distance(c, need) + b.doubt(c, now)
}

// copyScore is low for a target with room that does not fail together with the engine.
func (b *Balancer) copyScore(c *Candidate, need Request, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Memory+load.Copies)/float64(max(c.Memory, 1)) + b.doubt(c, now)
	if c.DataCentre == need.CopyAwayFrom {
		value += togetherPenalty
	}
	return value
}

// distance weighs that a target is in another data centre.
func distance(c *Candidate, need Request) float64 {
	switch {
	case c.DataCentre == need.DataCentre:
		return 0
	case need.TransfersMemory:
		return farMemoryPenalty
	case c.Memory > 0:
		return awayMemoryPenalty
	default:
		return awayPenalty
	}
}

// doubt weighs what speaks against a target being sound.
func (b *Balancer) doubt(c *Candidate, now time.Duration) float64 {
	value := 0.0
	if b.CutOff(c.DataCentre, now) {
		value += avoidPenalty / 2
	}
	failures := b.told[c.Target]
	if record := b.records[c.Target]; record != nil {
		failures = max(failures, record.own.at(now))
		if heard := record.heard.at(now); heard >= leastDoubt {
			failures = max(failures, heard)
		}
	}
	value += failurePenalty * failures
	if b.Avoided(c.Target, now) {
		value += avoidPenalty
	}
	return value
}
