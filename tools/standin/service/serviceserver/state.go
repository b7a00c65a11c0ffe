package serviceserver

import (
	"fmt"
	"maps"
	"time"

	"siskintide.example/siskintide/tools/standin/fault"
)

// state is the state of the stand-in. It belongs to one goroutine. The counts of runs
// survive a crash of the process, as the effects of completed calls would.
type state struct {
	options      Options
	faults       *fault.Set
	startCount   int
	startedAt    time.Time
	crashed      chan struct{} // closed when the current incarnation crashes
	runningCalls int
	runs         Runs
}

func newState(options Options) *state {
	s := &state{options: options, faults: fault.NewSet(), runs: Runs{ByKey: map[string]int{}}}
	s.start()
	return s
}

// start begins a new incarnation.
func (s *state) start() {
	s.startCount++
	s.startedAt = s.options.Clock.Now()
	s.crashed = make(chan struct{})
	s.runningCalls = 0
	s.runs.Incarnation = fmt.Sprintf("%s-%d", s.options.Name, s.startCount)
}

// crash ends the current incarnation and its running calls, and starts the next one.
func (s *state) crash() {
	close(s.crashed)
	s.start()
}

// beginCall starts and counts a call, unless a fault or an overload prevents it.
func (s *state) beginCall(c *call) {
	now := s.options.Clock.Now()
	c.crashed = s.crashed
	if _, c.drop = s.faults.Trigger(FaultDrop, now); c.drop {
		return
	}
	s.runningCalls++
	if s.overloaded(now) {
		s.runs.Crashes++
		s.crash()
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
		s.crash()
	}
}

// overloaded reports whether a cold process runs more than Options.ColdCalls calls.
func (s *state) overloaded(now time.Time) bool {
	cold := now.Sub(s.startedAt) < s.options.ColdFor
	return cold && s.options.ColdCalls > 0 && s.runningCalls > s.options.ColdCalls
}

// endCall removes a call from the running ones, unless its process has crashed.
func (s *state) endCall(c *call) {
	if c.crashed == s.crashed {
		s.runningCalls--
	}
}

// snapshot returns a copy of the counts.
func (s *state) snapshot() Runs {
	runs := s.runs
	runs.ByKey = maps.Clone(runs.ByKey)
	return runs
}
