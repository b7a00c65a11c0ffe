package edgecontrol

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
)

// chooseVersion sets the version to which a request of this host goes. A stream that goes on elsewhere stays within
// its version, and only a request that was not sent before is exposed to a new one.
func (s *state) chooseVersion(req *PlacementRequest) {
	if s.rollouts == nil {
		req.Versioned, req.Version = false, ""
		return
	}
	p := s.rollout(req.Pool)
	if req.RunningOn != "" {
		if entry, ok := s.view.Targets[req.RunningOn]; ok {
			req.Version, req.Versioned = entry.Version, true
		}
		if p.isNew(req.Version) {
			p.exposure.AddUnplanned()
		}
		return
	}
	if req.Versioned { // destination of a move
		return
	}
	version, known := s.mainVersion(req.Pool)
	req.Version, req.Versioned = version, true
	record, _ := p.controller.Record()
	if !req.First || !known || !record.Phase.Active() {
		return
	}
	probed := s.canProbe(req.Pool, record.To)
	if !p.exposure.Arrive(req.Route, req.Request.ID, probed, s.now()) || record.Phase == core.RolloutShifting {
		return
	}
	p.coldProbeAt = s.now()
	req.Version, req.Probe = record.To, true
}

// canProbe reports whether a target of a new version can take a request. While all of them are cold, they get their
// cold rate from all hosts together.
func (s *state) canProbe(pool core.PoolID, v core.Version) bool {
	targets := s.unlimited(s.candidatesOf(candidateKey{pool: pool, versioned: true, version: v, probe: true}))
	if !slices.ContainsFunc(targets, func(c placement.Candidate) bool { return !s.balancer.Avoided(c.Target, s.now()) }) {
		return false
	}
	spec := s.view.Table.Pool(pool)
	if spec == nil || spec.ColdRate <= 0 || s.view.Targets[targets[0].Target].ColdUntil <= s.now() {
		return true
	}
	interval := float64(len(s.hosts)) / (spec.ColdRate * float64(len(targets)))
	return s.now()-s.rollout(pool).coldProbeAt >= time.Duration(interval*float64(time.Second))
}

// unprobe sends a request to the version in force because no target of the new one can take it.
func (s *state) unprobe(req *PlacementRequest) {
	s.rollout(req.Pool).exposure.Return()
	req.Probe = false
	req.Version, _ = s.mainVersion(req.Pool)
}
