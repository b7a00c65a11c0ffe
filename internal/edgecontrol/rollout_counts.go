package edgecontrol

import (
	"maps"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/rollout"
)

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
