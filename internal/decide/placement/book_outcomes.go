package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// suspectTargets is the number of targets of one data centre that must fall silent
	// within suspectPeriod for the data centre to count as cut off.
	suspectTargets = 2
	// suspectPeriod is how long that is remembered, without another sign of life.
	suspectPeriod = 1500 * time.Millisecond
	// leastDoubt is the failure rate from which hosts tell each other of a target; callers'
	// own faults make up less.
	leastDoubt = 0.12
)

// RecordOutcome takes over how a send to a target ended.
func (b *Balancer) RecordOutcome(c Candidate, outcome Outcome, now time.Duration) {
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

func (b *Balancer) record(id core.TargetID) *record {
	if b.records[id] == nil {
		b.records[id] = &record{}
	}
	return b.records[id]
}

// DrainOutcomes returns the outcomes since the last call, for the hub.
func (b *Balancer) DrainOutcomes() map[core.TargetID]OutcomeCounts {
	tallies := map[core.TargetID]OutcomeCounts{}
	for id, record := range b.records {
		if record.untold != (OutcomeCounts{}) {
			tallies[id], record.untold = record.untold, OutcomeCounts{}
		}
	}
	return tallies
}

// AddPeerOutcomes takes over outcomes of another host's sends.
func (b *Balancer) AddPeerOutcomes(id core.TargetID, tally OutcomeCounts, now time.Duration) {
	b.record(id).hear(tally, now)
}

// HighFailureRates returns the failure rates, over all hosts that tell this one, of targets that
// fail more than usual.
func (b *Balancer) HighFailureRates(now time.Duration) map[core.TargetID]float64 {
	doubts := map[core.TargetID]float64{}
	for id, record := range b.records {
		if value := record.heard.at(now); value >= leastDoubt {
			doubts[id] = value
		}
	}
	return doubts
}

// SetHubFailureRates replaces the failure rates that the hub has told.
func (b *Balancer) SetHubFailureRates(doubts map[core.TargetID]float64) { b.told = doubts }

// CutOff reports whether a data centre seems to be cut off from this host.
func (b *Balancer) CutOff(id core.DataCentreID, now time.Duration) bool {
	recent := 0
	for _, at := range b.silent[id] {
		if now-at < suspectPeriod {
			recent++
		}
	}
	return recent >= suspectTargets
}

// CutOffDataCentres lists the data centres that seem to be cut off from this host.
func (b *Balancer) CutOffDataCentres(now time.Duration) []core.DataCentreID {
	var all []core.DataCentreID
	for id := range b.silent {
		if b.CutOff(id, now) {
			all = append(all, id)
		}
	}
	return all
}

// AvoidedTargets lists the targets to which sends failed a short time ago.
func (b *Balancer) AvoidedTargets(now time.Duration) []core.TargetID {
	var all []core.TargetID
	for id := range b.records {
		if b.Avoided(id, now) {
			all = append(all, id)
		}
	}
	return all
}

// Avoided reports whether sends to a target failed a short time ago.
func (b *Balancer) Avoided(id core.TargetID, now time.Duration) bool {
	record := b.records[id]
	return record != nil && (record.misplaced || now < record.avoidUntil)
}
