package rollout

import (
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// simFault is the fault of a version: part of its answers are failures, or take longer.
type simFault struct {
	part     float64
	slowdown float64       // zero makes bad answers failures
	after    time.Duration // since the order
	route    core.RouteID  // empty for all
	minLoad  int           // requests that run at the new version at the least
	// load is the least part of the pool's traffic, over loadTime, that the new version must have for the fault to show.
	load float64
}

// loadTime is the time over which the load for simFault.load is measured.
const loadTime = 500 * time.Millisecond

const (
	// Slow moments of the whole service: each momentTime is one with the probability momentPart.
	momentTime     = 300 * time.Millisecond
	momentPart     = 0.2
	momentSlowdown = 6
	momentFailures = 0.05 // part of the answers that are failures besides
	// Stalls of single targets: each target stands still in a part stallPart of all periods of stallTime.
	stallTime  = 400 * time.Millisecond
	stallPart  = 0.03
	simTargets = 40 // of each version
	simProbed  = 6  // of them, while the version is probed
)

// slowed returns the time and the result of a request after what slows down targets whatever their version is.
func (s *simulation) slowed(took time.Duration, failed, isNew bool, phase core.RolloutPhase) (time.Duration, bool) {
	if s.slowMoments && s.fractionOf("moment", uint64(s.now/momentTime)) < momentPart {
		took *= momentSlowdown
		failed = failed || s.random.Float64() < momentFailures
	}
	if s.stalls {
		targets := simTargets
		if isNew && phase == core.RolloutProbing {
			targets = simProbed
		}
		target := fmt.Sprint("target", isNew, s.random.IntN(targets))
		if s.fractionOf(target, uint64(s.now/stallTime)) < stallPart {
			took += stallTime - s.now%stallTime
		}
	}
	return took, failed
}

// fractionOf returns a fraction between 0 and 1 that is fixed for a period of something in this simulation.
func (s *simulation) fractionOf(what string, period uint64) float64 {
	return fractionOf(fmt.Sprint(s.seed, what, period))
}

// underLoad reports whether the new version has a part of the pool's traffic.
func (s *simulation) underLoad(part float64) bool {
	s.recentNew = slices.DeleteFunc(s.recentNew, func(at time.Duration) bool { return at <= s.now-loadTime })
	return float64(len(s.recentNew)) >= part*s.rate*loadTime.Seconds()
}

func (s *simulation) isBad(route core.RouteID) bool {
	f := s.fault
	return f != nil && (f.load == 0 || s.underLoad(f.load)) && s.now >= s.orderedAt+f.after && (f.route == "" || f.route == route) && s.running > f.minLoad && s.random.Float64() < f.part
}

// disturb lets hosts crash, freeze or lose their links, and the store go away or jump in time.
func (s *simulation) disturb(t *rapid.T) {
	for at := time.Duration(0); at < simDuration; at += 500 * time.Millisecond {
		kind := rapid.IntRange(0, 12).Draw(t, "disturbance")
		h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
		d := time.Duration(rapid.IntRange(1, 30).Draw(t, "tenths")) * 100 * time.Millisecond
		s.later(at, func() {
			switch kind {
			case 0:
				h.deadUntil = s.now + d
				s.later(d, func() { s.restart(h) })
			case 1:
				h.frozen = s.now + d
			case 2, 3:
				h.cutUntil = s.now + d
			case 4:
				s.storeAway = true
				s.later(d, func() { s.storeAway = false })
			case 5:
				s.storeJump += d - 1500*time.Millisecond
			}
		})
	}
}
