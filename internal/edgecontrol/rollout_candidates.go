package edgecontrol

import (
	"cmp"
	"math"
	"slices"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// probeTargetFactor is the part of a new version's targets that is probed, as a multiple of the exposed share of
// the requests. The few targets are loaded nearly as they will be, so that a fault under load shows.
const probeTargetFactor = 1.5

// unlimited returns the candidates that name no limit.
func (s *state) unlimited(all []placement.Candidate) []placement.Candidate {
	return s.permitted(all, false)
}

// requestCandidates lists the targets that may get a request.
func (s *state) requestCandidates(req PlacementRequest) []placement.Candidate {
	if s.rollouts == nil || !req.Versioned {
		return s.candidates(req.Pool)
	}
	if !s.allows(req.Pool, req.Version) {
		return nil
	}
	return s.candidatesOf(candidateKey{pool: req.Pool, versioned: true, version: req.Version, probe: req.Probe})
}

// selectVersion returns those of a pool's targets that a key selects.
func (s *state) selectVersion(all []placement.Candidate, key candidateKey) []placement.Candidate {
	if !key.versioned {
		return all
	}
	all = slices.DeleteFunc(all, func(c placement.Candidate) bool { return c.Version != key.version })
	if key.probe {
		return probeTargets(s.warm(all, 1), s.rollouts.options.Bounds.Share)
	}
	if record, _ := s.rollout(key.pool).controller.Record(); record.Phase == core.RolloutShifting && key.version == record.To {
		return s.warm(all, len(all)/2)
	}
	return all
}

// warm returns the candidates that are not cold, or all if there are fewer than a number of them.
func (s *state) warm(all []placement.Candidate, least int) []placement.Candidate {
	now := s.now()
	isCold := func(c placement.Candidate) bool { return s.view.Targets[c.Target].ColdUntil > now }
	warm := slices.DeleteFunc(slices.Clone(all), isCold)
	if len(warm) < max(least, 1) {
		return all
	}
	return warm
}

// probeTargets returns the few candidates of each data centre that are probed; all hosts choose the same.
func probeTargets(all []placement.Candidate, share float64) []placement.Candidate {
	byDataCentre := map[core.DataCentreID][]placement.Candidate{}
	for _, c := range all {
		byDataCentre[c.DataCentre] = append(byDataCentre[c.DataCentre], c)
	}
	var probed []placement.Candidate
	for _, some := range byDataCentre {
		slices.SortFunc(some, func(a, b placement.Candidate) int { return cmp.Compare(a.Target, b.Target) })
		count := int(math.Ceil(probeTargetFactor * share * float64(len(some))))
		probed = append(probed, some[:min(max(count, 1), len(some))]...)
	}
	return probed
}
