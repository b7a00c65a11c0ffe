package main

import (
	"container/heap"
	"time"
)

const (
	engineCount    = 12
	sampleInterval = 100 * time.Millisecond
)

// simulation is a discrete-event simulation of one policy on one list of arrivals.
type simulation struct {
	now       time.Duration
	end       time.Duration
	pending   eventHeap
	scheduled uint64 // events scheduled so far
	engines   []*engine
	policy    policy
	metrics   *metrics
}

// simulate runs the arrivals under a policy until the end time and returns the metrics
// measured after the warm-up.
func simulate(p policy, arrivals []*request, warmUp, end time.Duration) *metrics {
	s := &simulation{end: end, policy: p, metrics: newMetrics(warmUp, end)}
	for range engineCount {
		s.engines = append(s.engines, &engine{simulation: s})
	}
	p.attach(s)
	s.scheduleEvery(sampleInterval, 0, func() { s.metrics.sampleMemory(s.engines, s.now) })
	s.scheduleArrivals(arrivals)
	for len(s.pending) > 0 && s.pending[0].at <= end {
		next := heap.Pop(&s.pending).(event)
		s.now = next.at
		next.action()
	}
	s.metrics.summarise(arrivals)
	return s.metrics
}

// scheduleArrivals schedules the arrival of the first request, which schedules the next one.
func (s *simulation) scheduleArrivals(remaining []*request) {
	if len(remaining) == 0 {
		return
	}
	s.schedule(remaining[0].arrival-s.now, func() {
		s.policy.arrived(remaining[0])
		s.scheduleArrivals(remaining[1:])
	})
}

// schedule schedules an action after the delay.
func (s *simulation) schedule(delay time.Duration, action func()) {
	s.scheduled++
	heap.Push(&s.pending, event{at: s.now + delay, sequence: s.scheduled, action: action})
}

// scheduleEvery schedules an action periodically, the first time after the offset.
func (s *simulation) scheduleEvery(interval, offset time.Duration, action func()) {
	var tick func()
	tick = func() {
		action()
		s.schedule(interval, tick)
	}
	s.schedule(offset, tick)
}

// send starts a request on an engine.
func (s *simulation) send(engine int, r *request) {
	r.engine = engine
	r.sentAt = s.now
	s.engines[engine].submit(r)
}

// refuse marks a request as refused; it must not have run.
func (s *simulation) refuse(r *request) {
	r.refused = true
}

// deliverToken delivers the latest token of a stream to its caller. Tokens that the caller
// already has are skipped.
func (s *simulation) deliverToken(st *stream) {
	r := st.request
	if st.output <= r.delivered {
		return
	}
	r.delivered = st.output
	if r.firstTokenAt == 0 {
		r.firstTokenAt = s.now
		s.policy.firstToken(r)
	} else {
		s.metrics.recordGap(r, s.now-r.lastTokenAt, s.now)
	}
	r.lastTokenAt = s.now
}

// finish records the end of a request and calls the policy.
func (s *simulation) finish(r *request) {
	r.completedAt = s.now
	s.policy.finished(r)
}
