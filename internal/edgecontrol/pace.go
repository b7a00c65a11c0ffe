package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/message"
)

const (
	// avoidedLogInterval is the least time between two log lines on engines avoided for their pace: a hub places
	// some tens of streams a second.
	avoidedLogInterval = time.Second
	// paceGaugeInterval is the time between two updates of the gauges.
	paceGaugeInterval = time.Second
)

// tickPace reports what was seen of the engines' pace to the hub, and learns from it if this host is a hub or has
// none. It is called before the load is sent.
func (s *state) tickPace() {
	now := s.now()
	if s.pace.due(now) && s.learnsPace() {
		for id, sums := range s.pace.unsent {
			s.recordPace(id, sums)
		}
		if s.hub == "" {
			s.pace.clear(now)
		}
	}
	if s.options.PaceMetrics == nil || now-s.paceGaugesAt < paceGaugeInterval || s.view.Table == nil {
		return
	}
	s.paceGaugesAt = now
	for _, pool := range s.view.Table.Config.Pools {
		if pool.LearnPace {
			summary, _ := s.balancer.PaceSummary(pool.ID) // zero once this host places for nobody
			s.options.PaceMetrics.EnginePace(pool.ID, summary)
		}
	}
}

// learnsPace reports whether this host places streams by what it learns. A subscriber knows only its own load on the
// engines, and would learn a wrong curve.
func (s *state) learnsPace() bool { return s.hub == "" || s.view.HasSubscribers }

// recordPace learns from what hosts have seen of an engine.
func (s *state) recordPace(id core.TargetID, sums pace.Sums) {
	entry, known := s.view.Targets[id]
	if !known || s.view.Table == nil {
		return
	}
	spec := s.view.Table.Pool(entry.Pool)
	if spec == nil || !spec.LearnPace || spec.Engine == nil {
		return
	}
	candidate := s.candidate(id)
	candidate.Memory = spec.Engine.MemoryTokens
	if limit := s.balancer.RecordPace(entry.Pool, candidate, sums, s.now()); limit > 0 {
		s.log.WithField("target", id).WithField("pool", entry.Pool).WithField("memory_limit", limit).
			Info("engine's memory limit lowered after a preemption")
	}
}

// recordPeerPace learns from a subscriber's report.
func (s *state) recordPeerPace(reports []message.TargetPace) {
	for _, m := range reports {
		s.recordPace(m.Target, pace.Sums{Events: m.Events, Time: m.Time, Late: m.Late, Longest: m.Longest, Goal: m.Goal, LateStreams: m.LateStreams})
	}
}

// setPace adds to a request what its pauses are forecast from. The goal for pauses counts only in pools whose pace is
// learned.
func (s *state) setPace(req *PlacementRequest) {
	spec := s.view.Table.Pool(req.Pool)
	if spec == nil || !spec.LearnPace || spec.Engine == nil {
		req.Request.GapGoal = 0
		return
	}
	tokens := max(req.Request.Memory-req.Request.Prompt, 0)
	req.Request.Pool, req.Request.Events = req.Pool, int(tokens)/max(spec.Engine.EventTokens, 1)
}

// recordPrompt records a prompt that this host has placed at an engine.
func (s *state) recordPrompt(req PlacementRequest, choice placement.Choice) {
	s.setPace(&req)
	if req.Request.GapGoal > 0 && req.RunningOn == "" {
		s.balancer.RecordPrompt(choice, req.Request, s.now())
	}
}

// recordAvoided counts and logs that a target was passed over for its pace.
func (s *state) recordAvoided(req *PlacementRequest, choice placement.Choice) {
	if choice.Avoided == "" {
		return
	}
	if s.options.PaceMetrics != nil {
		s.options.PaceMetrics.PlacementAvoided(req.Pool)
	}
	now := s.now()
	if now-s.avoidedLoggedAt < avoidedLogInterval {
		return
	}
	s.avoidedLoggedAt = now
	entry := s.log.WithField("pool", req.Pool).WithField("request", req.Request.ID).WithField("target", choice.Target.Target).WithField("avoided", choice.Avoided)
	if f, known := s.balancer.Pace(s.candidate(choice.Avoided), req.Request); known {
		entry = entry.WithField("factor", f.Factor).WithField("pause_ms", int(f.Pause)).WithField("late_share", f.Late).
			WithField("made_late", f.Caused).WithField("memory_limit", f.MemoryLimit).WithField("recent_late", f.Trouble)
	}
	entry.Info("engine avoided for its pace")
}
