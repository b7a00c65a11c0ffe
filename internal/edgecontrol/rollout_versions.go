package edgecontrol

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/rollout"
)

// probeTargetFactor is the part of a new version's targets that is probed, as a multiple of the exposed share of
// the requests. The few targets are loaded nearly as they will be, so that a fault under load shows.
const probeTargetFactor = 1.5

// rollout returns the state of a pool's rollouts, creating it on first use.
func (s *state) rollout(pool core.PoolID) *poolRollout {
	r := s.rollouts
	if r.pools[pool] == nil {
		r.pools[pool] = &poolRollout{controller: rollout.NewController(r.self, r.options.Bounds), exposure: rollout.NewExposure(r.incarnation, r.options.Bounds)}
	}
	return r.pools[pool]
}

// mainVersion returns the version to which requests of a pool go that are not exposed to a new one. It returns false
// if no version may be used yet, since the records are not known.
func (s *state) mainVersion(pool core.PoolID) (core.Version, bool) {
	if !s.rollouts.known {
		return "", false
	}
	if v, ok := s.rollout(pool).main(); ok {
		return v, true
	}
	return rollout.InitialVersion(s.versionTargets(pool))
}

// versionTargets sums up the targets of a pool by version.
func (s *state) versionTargets(pool core.PoolID) map[core.Version]rollout.VersionTargets {
	sums := map[core.Version]rollout.VersionTargets{}
	now := s.now()
	for id, entry := range s.view.Targets {
		if entry.Pool != pool {
			continue
		}
		sum, known := sums[entry.Version]
		if !known || entry.Born < sum.Oldest {
			sum.Oldest = entry.Born
		}
		if s.view.Usable(id) {
			sum.Slots += entry.Slots
			if entry.ColdUntil <= now {
				sum.WarmSlots += entry.Slots
			}
		}
		sum.Busy += s.balancer.RequestsAt(id)
		sums[entry.Version] = sum
	}
	return sums
}

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

// crashPeriod is the time in which broken connections of one target count as one failure: those of all its requests
// break when it crashes.
const crashPeriod = time.Second

// brokeBefore records that a connection to a target broke, and reports whether another one did within crashPeriod.
func (r *rollouts) brokeBefore(id core.TargetID, now time.Duration) bool {
	at, known := r.broken[id]
	if known && now-at < crashPeriod {
		return true
	}
	maps.DeleteFunc(r.broken, func(_ core.TargetID, at time.Duration) bool { return now-at >= crashPeriod })
	r.broken[id] = now
	return false
}

// unprobe sends a request to the version in force because no target of the new one can take it.
func (s *state) unprobe(req *PlacementRequest) {
	s.rollout(req.Pool).exposure.Return()
	req.Probe = false
	req.Version, _ = s.mainVersion(req.Pool)
}

// unlimited returns the candidates that name no limit.
func (s *state) unlimited(all []placement.Candidate) []placement.Candidate {
	return s.permitted(all, false)
}

// allows reports whether targets of a version of a pool may be used. After a rollback, nothing goes on at the new
// version, and after completion nothing at the old one.
func (s *state) allows(pool core.PoolID, v core.Version) bool {
	if s.rollouts == nil {
		return true
	}
	record, known := s.rollout(pool).controller.Record()
	return !known || record.Allows(v)
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

// rolloutTicket returns the ticket of an assignment, or the zero ticket if its result is not counted.
func (s *state) rolloutTicket(choice placement.Choice, req PlacementRequest) rolloutTicket {
	if s.rollouts == nil || req.Request.TransfersMemory {
		return rolloutTicket{}
	}
	p := s.rollout(req.Pool)
	record, _ := p.controller.Record()
	if !record.Phase.Active() {
		return rolloutTicket{}
	}
	v, isCold := choice.Target.Version, s.view.Targets[choice.Target.Target].ColdUntil > s.now()
	s.rollouts.options.Metrics.Exposed(req.Pool, v)
	// While traffic shifts, the old version has no answers of the same time. Times of before are no comparison: what
	// slows down all targets for a moment would speak against the new version.
	untimed := isCold || req.RunningOn != "" || record.Phase == core.RolloutShifting
	return rolloutTicket{
		pool: req.Pool, order: record.Order, version: v, placedAt: s.now(),
		timed: untimed, paced: untimed,
		sample: rollout.Sample{
			Route: req.Route, Remote: choice.Target.DataCentre != s.options.Self.DataCentre, New: p.isNew(v), Window: p.exposure.Window(s.now()),
		},
	}
}

// countStart counts the time to the first event of a stream.
func (s *state) countStart(t rolloutTicket) {
	if x := s.ticketExposure(t); x != nil && !t.timed {
		x.RecordTime(t.sample, s.now()-t.placedAt)
	}
}

// ticketExposure returns the exposure in which a ticket is counted, or nil if the rollout is over.
func (s *state) ticketExposure(t rolloutTicket) *rollout.Exposure {
	if s.rollouts == nil || !t.counts() {
		return nil
	}
	p := s.rollout(t.pool)
	if record, _ := p.controller.Record(); record.Order != t.order || !record.Phase.Active() {
		return nil
	}
	return p.exposure
}

// minAbandoned is the time after which a request that its caller has given up is counted with the time it took. One
// that ends sooner may not have been sent. Callers give up requests to both versions, and more of them if one is slow.
const minAbandoned = 250 * time.Millisecond

// countPause counts the mean pause between the first events of a stream.
func (s *state) countPause(t rolloutTicket, pause time.Duration) {
	if x := s.ticketExposure(t); x != nil && !t.paced && pause > 0 {
		x.RecordPause(t.sample, pause)
	}
}

// countEnd counts the end of a request. What a target was told to do, and what it refused to run, is not counted.
func (s *state) countEnd(a Assignment, outcome placement.Outcome) {
	t := a.rollout
	x := s.ticketExposure(t)
	if x == nil {
		return
	}
	took := s.now() - t.placedAt
	failed := outcome == placement.Failed || outcome == placement.Unreachable
	entry, known := s.view.Targets[a.Target.Target]
	planned := !known || entry.Leaving
	switch outcome {
	case placement.Full, placement.Misdirected:
		return
	case placement.Inconclusive:
		if took < minAbandoned || planned {
			return
		}
		failed = true // given up by its caller, or continued elsewhere after a failure
	case placement.Unreachable:
		if planned || s.rollouts.brokeBefore(a.Target.Target, s.now()) {
			return
		}
	}
	if !t.timed {
		x.RecordTime(t.sample, took)
	}
	s.countPause(t, a.Pause)
	x.RecordEnd(t.sample, failed)
	s.rollouts.options.Metrics.Ended(t.pool, t.version, failed)
}
