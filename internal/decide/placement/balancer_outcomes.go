package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// cutOffTargets is the number of targets of one data centre that must be unreachable
	// within cutOffPeriod for the data centre to count as cut off.
	cutOffTargets = 2
	// cutOffPeriod is how long an unreachable target counts against its data centre, unless
	// a target there answers, or refuses for lack of room, in the meantime.
	cutOffPeriod = 1500 * time.Millisecond
	// minSharedRate is the failure rate from which hosts share it with each other. Failures
	// caused by callers stay below it.
	minSharedRate = 0.12
)

// RecordOutcome records how an attempt at a target ended.
func (b *Balancer) RecordOutcome(c Candidate, outcome Outcome, now time.Duration) {
	b.healthOf(c.Target).record(outcome, now)
	switch outcome {
	case Unreachable:
		if b.unreachable[c.DataCentre] == nil {
			b.unreachable[c.DataCentre] = map[core.TargetID]time.Duration{}
		}
		b.unreachable[c.DataCentre][c.Target] = now
	case Answered, Full:
		delete(b.unreachable, c.DataCentre)
	}
}

func (b *Balancer) healthOf(id core.TargetID) *targetHealth {
	if b.health[id] == nil {
		b.health[id] = &targetHealth{}
	}
	return b.health[id]
}

// DrainOutcomes returns the outcome counts since the last call, to be sent to the hub.
func (b *Balancer) DrainOutcomes() map[core.TargetID]OutcomeCounts {
	counts := map[core.TargetID]OutcomeCounts{}
	for id, health := range b.health {
		if health.unsent != (OutcomeCounts{}) {
			counts[id], health.unsent = health.unsent, OutcomeCounts{}
		}
	}
	return counts
}

// AddPeerOutcomes adds outcomes of another host's attempts.
func (b *Balancer) AddPeerOutcomes(id core.TargetID, counts OutcomeCounts, now time.Duration) {
	health := b.healthOf(id)
	health.removed = false
	health.addPeerOutcomes(counts, now)
}

// HighFailureRates returns the failure rates of at least minSharedRate, computed from the
// outcomes of this host and of all hosts that report to it.
func (b *Balancer) HighFailureRates(now time.Duration) map[core.TargetID]float64 {
	rates := map[core.TargetID]float64{}
	for id, health := range b.health {
		if value := health.sharedRate.at(now); value >= minSharedRate {
			rates[id] = value
		}
	}
	return rates
}

// SetHubFailureRates replaces the failure rates received from the hub.
func (b *Balancer) SetHubFailureRates(rates map[core.TargetID]float64) { b.hubRates = rates }

// CutOff reports whether a data centre seems to be cut off from this host.
func (b *Balancer) CutOff(id core.DataCentreID, now time.Duration) bool {
	recent := 0
	for _, at := range b.unreachable[id] {
		if now-at < cutOffPeriod {
			recent++
		}
	}
	return recent >= cutOffTargets
}

// CutOffDataCentres lists the data centres that seem to be cut off from this host.
func (b *Balancer) CutOffDataCentres(now time.Duration) []core.DataCentreID {
	var all []core.DataCentreID
	for id := range b.unreachable {
		if b.CutOff(id, now) {
			all = append(all, id)
		}
	}
	return all
}

// AvoidedTargets lists the targets that Avoided reports.
func (b *Balancer) AvoidedTargets(now time.Duration) []core.TargetID {
	var all []core.TargetID
	for id := range b.health {
		if b.Avoided(id, now) {
			all = append(all, id)
		}
	}
	return all
}

// Avoided reports whether a target is backed off after a failed attempt, or its address
// belongs to another target now.
func (b *Balancer) Avoided(id core.TargetID, now time.Duration) bool {
	health := b.health[id]
	return health != nil && (health.misdirected || now < health.avoidUntil)
}

// RecordRest records that a target has asked this host to send it nothing for a time.
func (b *Balancer) RecordRest(id core.TargetID, rest, now time.Duration) {
	health := b.healthOf(id)
	health.removed = false
	health.restsUntil = max(health.restsUntil, now+min(rest, maxRest))
}

// Resting lists the targets that have asked this host to send them nothing now, with the time left.
func (b *Balancer) Resting(now time.Duration) map[core.TargetID]time.Duration {
	resting := map[core.TargetID]time.Duration{}
	for id, health := range b.health {
		if now < health.restsUntil {
			resting[id] = health.restsUntil - now
		}
	}
	return resting
}
