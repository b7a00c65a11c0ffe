package engineserver

import (
	"cmp"
	"slices"
)

// batch schedules streams. Each running stream holds its context in memory.
type batch struct {
	memoryTokens int
	maxRunning   int
	prefillChunk int // prompt tokens computed per step
	usedTokens   int // of memoryTokens
	preemptions  uint64
	running      []*stream
	waiting      []*stream
}

// admitReserveDivisor sets the share of memory that stays free when a stream is admitted:
// 1/64. The reserve keeps a stream from being preempted in the step after its admission.
const admitReserveDivisor = 64

// add queues a stream in the order of stream.precedes.
func (b *batch) add(s *stream) {
	s.phase = waiting
	at, _ := slices.BinarySearchFunc(b.waiting, s, func(a, b *stream) int {
		if a.precedes(b) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, s)
}

// admit starts waiting streams, in their order, while memory and maxRunning allow it.
// cached returns the number of prompt tokens that need no computation.
func (b *batch) admit(cached func(*stream) int) {
	for len(b.waiting) > 0 && len(b.running) < b.maxRunning {
		s := b.waiting[0]
		reserve := 0
		if len(b.running) > 0 {
			reserve = b.memoryTokens/admitReserveDivisor + len(b.running)
		}
		if b.usedTokens+s.context()+reserve >= b.memoryTokens {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
		b.usedTokens += s.context()
		s.phase = running
		s.prefillLeft = s.context() - cached(s)
	}
}

// computePrefill computes up to prefillChunk prompt tokens and returns how many it computed.
func (b *batch) computePrefill() int {
	budget := b.prefillChunk
	for _, s := range b.running {
		n := min(budget, s.prefillLeft)
		s.prefillLeft -= n
		budget -= n
	}
	return b.prefillChunk - budget
}

// decode produces one token for each running stream whose prefill is complete and returns
// these streams. The caller ends streams that have reached their length.
func (b *batch) decode() []*stream {
	b.preempt()
	var advanced []*stream
	for _, s := range b.running {
		if s.prefillLeft > 0 {
			continue
		}
		s.produced++
		b.usedTokens++
		advanced = append(advanced, s)
	}
	return advanced
}

// preempt moves running streams back to the queue until each remaining one can grow by a
// token. It takes the stream with the highest priority number first and, among equals, the
// one that arrived last. A single remaining stream ends early instead.
func (b *batch) preempt() {
	for b.usedTokens+len(b.running) > b.memoryTokens && len(b.running) > 1 {
		victim := slices.MaxFunc(b.running, func(x, y *stream) int {
			return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.arrival, y.arrival))
		})
		b.remove(victim)
		b.add(victim)
		b.preemptions++
	}
	if len(b.running) == 1 && b.usedTokens+1 >= b.memoryTokens {
		s := b.running[0]
		s.length = min(s.length, s.produced+1)
		s.finishReason = "length"
	}
}

// remove removes a stream from the batch and frees its memory.
func (b *batch) remove(s *stream) {
	isStream := func(other *stream) bool { return other == s }
	if s.phase == running {
		b.usedTokens -= s.context()
		b.running = slices.DeleteFunc(b.running, isStream)
	}
	b.waiting = slices.DeleteFunc(b.waiting, isStream)
}
