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
	// suspectTargets is the number of targets of one data centre that must fall silent
	// within suspectPeriod for the data centre to count as cut off.
	suspectTargets = 2
	// suspectPeriod is how long that is remembered, without another sign of life.
	suspectPeriod = 1500 * time.Millisecond
	// failurePenalty weighs a failure rate against load.
	failurePenalty = 2.0
	// leastDoubt is the failure rate from which hosts tell each other of a target; callers'
	// own faults make up less.
	leastDoubt = 0.12
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

// Book knows the load of all targets. Only one goroutine uses it.
type Book struct {
	own     map[core.TargetID]Load
	records map[core.TargetID]*record
	peers   *peers
	silent  map[core.DataCentreID]map[core.TargetID]time.Duration // targets that fell silent, and when
	told    map[core.TargetID]float64                             // failure rates that the hub has told
}

// NewBook returns a book without load.
func NewBook() *Book {
	return &Book{own: map[core.TargetID]Load{}, records: map[core.TargetID]*record{}, peers: newPeers(), silent: map[core.DataCentreID]map[core.TargetID]time.Duration{}}
}

// Add counts work that this host gives a target.
func (b *Book) Add(id core.TargetID, load Load) { b.own[id] = b.own[id].plus(load) }

// Remove counts work that has ended.
func (b *Book) Remove(id core.TargetID, load Load) {
	left := b.own[id].minus(load)
	if left == (Load{}) {
		delete(b.own, id)
		return
	}
	b.own[id] = left
}

// Own returns a copy of this host's work by target.
func (b *Book) Own() map[core.TargetID]Load {
	loads := make(map[core.TargetID]Load, len(b.own))
	for id, load := range b.own {
		loads[id] = load
	}
	return loads
}

// Peer takes over another host's account of its work. Grants up to the given number are
// part of it, or were not used.
func (b *Book) Peer(host core.HostID, loads map[core.TargetID]Load, granted uint64, now time.Duration) {
	b.peers.report(host, loads, granted, now)
}

// Grant counts a placement that another host was given until it reports it.
func (b *Book) Grant(host core.HostID, number uint64, loads map[core.TargetID]Load, now time.Duration) {
	b.peers.grant(host, number, loads, now)
}

// ForgetPeer drops the work of a host that is gone.
func (b *Book) ForgetPeer(host core.HostID) { b.peers.forget(host) }

// Expire drops hosts that have not reported for a while.
func (b *Book) Expire(now time.Duration) { b.peers.expire(now) }

// Note takes over how a send to a target ended.
func (b *Book) Note(c Candidate, outcome Outcome, now time.Duration) {
	b.record(c.Target).note(outcome, now)
	switch outcome {
	case Unreachable:
		if b.silent[c.DataCentre] == nil {
			b.silent[c.DataCentre] = map[core.TargetID]time.Duration{}
		}
		b.silent[c.DataCentre][c.Target] = now
	case Answered, Full:
		delete(b.silent, c.DataCentre)
	}
}

func (b *Book) record(id core.TargetID) *record {
	if b.records[id] == nil {
		b.records[id] = &record{}
	}
	return b.records[id]
}

// Untold returns the outcomes since the last call, for the hub.
func (b *Book) Untold() map[core.TargetID]Tally {
	tallies := map[core.TargetID]Tally{}
	for id, record := range b.records {
		if record.untold != (Tally{}) {
			tallies[id], record.untold = record.untold, Tally{}
		}
	}
	return tallies
}

// Hear takes over outcomes of another host's sends.
func (b *Book) Hear(id core.TargetID, tally Tally, now time.Duration) { b.record(id).hear(tally, now) }

// Doubts returns the failure rates, over all hosts that tell this one, of targets that
// fail more than usual.
func (b *Book) Doubts(now time.Duration) map[core.TargetID]float64 {
	doubts := map[core.TargetID]float64{}
	for id, record := range b.records {
		if value := record.heard.at(now); value >= leastDoubt {
			doubts[id] = value
		}
	}
	return doubts
}

// Told replaces the failure rates that the hub has told.
func (b *Book) Told(doubts map[core.TargetID]float64) { b.told = doubts }

// CutOff reports whether a data centre seems to be cut off from this host.
func (b *Book) CutOff(id core.DataCentreID, now time.Duration) bool {
	recent := 0
	for _, at := range b.silent[id] {
		if now-at < suspectPeriod {
			recent++
		}
	}
	return recent >= suspectTargets
}

// AllCutOff lists the data centres that seem to be cut off from this host.
func (b *Book) AllCutOff(now time.Duration) []core.DataCentreID {
	var all []core.DataCentreID
	for id := range b.silent {
		if b.CutOff(id, now) {
			all = append(all, id)
		}
	}
	return all
}

// AllAvoided lists the targets to which sends failed a short time ago.
func (b *Book) AllAvoided(now time.Duration) []core.TargetID {
	var all []core.TargetID
	for id := range b.records {
		if b.Avoided(id, now) {
			all = append(all, id)
		}
	}
	return all
}

// Forget drops what is known of a target that is gone or has started again.
func (b *Book) Forget(id core.TargetID) { delete(b.records, id) }

// load returns the work of all hosts at a target.
func (b *Book) load(id core.TargetID) Load {
	return b.own[id].plus(b.peers.totals[id])
}

// Crowded reports whether a target has no room for the request's forecast memory.
func (b *Book) Crowded(c Candidate, need Need) bool {
	load := b.load(c.Target)
	return c.Memory > 0 && float64(load.Memory+load.Copies+need.Memory) > crowdedMemory*float64(c.Memory)
}

// Choose returns the target for a request, and one for its copy if it wants one and there
// is room. It is false if there is no candidate.
func (b *Book) Choose(candidates []Candidate, need Need, now time.Duration) (Choice, bool) {
	target := b.best(sample(candidates, need.Request), need, now, b.score)
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
func (b *Book) ChooseCopy(candidates []Candidate, need Need, running core.TargetID, now time.Duration) (Candidate, bool) {
	need.Avoid = append([]core.TargetID{running}, need.Avoid...)
	for _, candidate := range candidates {
		if candidate.Target == running {
			need.Apart = candidate.DataCentre
		}
	}
	candidates = sample(candidates, need.Request)
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
func (b *Book) share(candidates []Candidate) float64 {
	var used, all core.Tokens
	for i := range candidates {
		load := b.load(candidates[i].Target)
		used, all = used+load.Memory+load.Copies, all+candidates[i].Memory
	}
	return float64(used) / float64(max(all, 1))
}

func (b *Book) best(candidates []Candidate, need Need, now time.Duration, score func(*Candidate, Need, time.Duration) float64) *Candidate {
	var best *Candidate
	lowest, lowestTie := 0.0, uint64(0)
	for i := range candidates {
		candidate := &candidates[i]
		if need.avoids(candidate.Target) {
			continue
		}
		value, tie := score(candidate, need, now), xxhash.Sum64String(need.Request+string(candidate.Target))
		if best == nil || value < lowest || value == lowest && tie < lowestTie {
			best, lowest, lowestTie = candidate, value, tie
		}
	}
	return best
}

// score is low for a target that is little loaded, near and sound.
func (b *Book) score(c *Candidate, need Need, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Requests) / float64(max(c.Slots, 1))
	if c.Memory > 0 {
		share := float64(load.Memory+load.Copies+need.Memory) / float64(c.Memory)
		starting := load.Starting + need.Prompt
		value = max(value, share) + overfullPenalty*max(share-fullMemory, 0)
		value += float64(starting)/promptScale + slowPenalty*max(float64(starting-slowPrompts), 0)/promptScale
	}
	return value + distance(c, need) + b.doubt(c, now)
}

// copyScore is low for a target with room that does not fail together with the engine.
func (b *Book) copyScore(c *Candidate, need Need, now time.Duration) float64 {
	load := b.load(c.Target)
	value := float64(load.Memory+load.Copies)/float64(max(c.Memory, 1)) + b.doubt(c, now)
	if c.DataCentre == need.Apart {
		value += togetherPenalty
	}
	return value
}

// distance weighs that a target is in another data centre.
func distance(c *Candidate, need Need) float64 {
	switch {
	case c.DataCentre == need.DataCentre:
		return 0
	case need.Near:
		return farMemoryPenalty
	case c.Memory > 0:
		return awayMemoryPenalty
	default:
		return awayPenalty
	}
}

// doubt weighs what speaks against a target being sound.
func (b *Book) doubt(c *Candidate, now time.Duration) float64 {
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

// Avoided reports whether sends to a target failed a short time ago.
func (b *Book) Avoided(id core.TargetID, now time.Duration) bool {
	record := b.records[id]
	return record != nil && (record.misplaced || now < record.avoidUntil)
}
