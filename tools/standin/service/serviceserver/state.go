package serviceserver

import (
	"fmt"
	"maps"
	"time"

	"siskintide.example/siskintide/tools/standin/fault"
)

// state is what the stand-in remembers. It belongs to one goroutine. Runs outlive a loss
// of the process, as a booking outlives the process that made it.
type state struct {
	options Options
	faults  *fault.Set
	starts  int
	started time.Time
	lost    chan struct{}
	running int
	runs    Runs
}

func newState(options Options) *state {
	s := &state{options: options, faults: fault.NewSet(), runs: Runs{ByKey: map[string]int{}}}
	s.start()
	return s
}

// start begins a new incarnation.
func (s *state) start() {
	s.starts++
	s.started = s.options.Clock.Now()
	s.lost = make(chan struct{})
	s.running = 0
	s.runs.Incarnation = fmt.Sprintf("%s-%d", s.options.Name, s.starts)
}

// lose ends the current incarnation with all calls that it runs.
func (s *state) lose() {
	close(s.lost)
	s.start()
}

// begin lets a call run, unless a fault keeps it from doing so.
func (s *state) begin(c *call) {
	now := s.options.Clock.Now()
	c.lost = s.lost
	if _, c.drop = s.faults.Trigger(FaultDrop, now); c.drop {
		return
	}
	s.running++
	if s.overloaded(now) {
		s.runs.Crashes++
		s.lose()
		return
	}
	s.runs.Total++
	if key := c.r.Header.Get("Idempotency-Key"); key != "" {
		s.runs.ByKey[key]++
	}
	c.latency = s.options.Latency
	if late, ok := s.faults.Trigger(FaultLate, now); ok {
		c.latency += late.Delay()
	}
	if _, c.die = s.faults.Trigger(FaultDie, now); c.die {
		s.lose()
	}
}

// overloaded reports whether a cold process has more calls than it bears.
func (s *state) overloaded(now time.Time) bool {
	cold := now.Sub(s.started) < s.options.ColdFor
	return cold && s.options.ColdCalls > 0 && s.running > s.options.ColdCalls
}

// end counts a call that no longer runs, if its process still exists.
func (s *state) end(c *call) {
	if c.lost == s.lost {
		s.running--
	}
}

// snapshot returns a copy of the counts.
func (s *state) snapshot() Runs {
	runs := s.runs
	runs.ByKey = maps.Clone(runs.ByKey)
	return runs
}
