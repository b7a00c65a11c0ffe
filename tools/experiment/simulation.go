package main

import (
	"container/heap"
	"time"
)

const (
	engineCount    = 12
	sampleInterval = 100 * time.Millisecond
)

// simulation runs one policy on one list of arrivals in simulated time.
type simulation struct {
	now      time.Duration
	end      time.Duration
	pending  events
	order    uint64
	engines  []*engine
	policy   policy
	measures *measures
}

// simulate runs the arrivals under a policy until the end, and returns what was measured
// after the warm-up.
func simulate(p policy, arrivals []*request, warmUp, end time.Duration) *measures {
	s := &simulation{end: end, policy: p, measures: newMeasures(warmUp, end)}
	for range engineCount {
		s.engines = append(s.engines, &engine{simulation: s})
	}
	p.attach(s)
	s.every(sampleInterval, 0, func() { s.measures.sample(s.engines, s.now) })
	s.arrivals(arrivals)
	for len(s.pending) > 0 && s.pending[0].at <= end {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.do()
	}
	s.measures.take(arrivals)
	return s.measures
}

// arrivals schedules the first request, which schedules the next.
func (s *simulation) arrivals(left []*request) {
	if len(left) == 0 {
		return
	}
	s.after(left[0].arrival-s.now, func() {
		s.policy.arrived(left[0])
		s.arrivals(left[1:])
	})
}

// after schedules an event.
func (s *simulation) after(wait time.Duration, do func()) {
	s.order++
	heap.Push(&s.pending, event{at: s.now + wait, order: s.order, do: do})
}

// every calls a function at regular times, the first after the offset.
func (s *simulation) every(interval, offset time.Duration, do func()) {
	var again func()
	again = func() {
		do()
		s.after(interval, again)
	}
	s.after(offset, again)
}

// send starts a request on an engine.
func (s *simulation) send(engine int, r *request) {
	r.engine = engine
	r.sentAt = s.now
	s.engines[engine].submit(r)
}

// refuse ends a request that has not run.
func (s *simulation) refuse(r *request) {
	r.refused = true
}

// token delivers one token of a stream to its caller.
func (s *simulation) token(st *stream) {
	r := st.request
	if st.output <= r.delivered {
		return
	}
	r.delivered = st.output
	if r.firstAt == 0 {
		r.firstAt = s.now
		s.policy.firstToken(r)
	} else {
		s.measures.gap(r, s.now-r.lastAt, s.now)
	}
	r.lastAt = s.now
}

func (s *simulation) finished(r *request) {
	r.doneAt = s.now
	s.policy.finished(r)
}
