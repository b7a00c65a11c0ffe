package engineserver

import (
	"cmp"
	"slices"
)

// batch decides which streams run. Running streams hold their context in memory.
type batch struct {
	memory      int // tokens
	limit       int // streams that run at once
	chunk       int // tokens of prefill in one step
	used        int // tokens
	preemptions uint64
	running     []*stream
	waiting     []*stream
}

// admitReserve is the share of memory, as a divisor, that is left free when a stream is
// admitted. It keeps a stream from being preempted in the step after its admission.
const admitReserve = 64

// add lets a stream wait for its turn.
func (b *batch) add(s *stream) {
	s.phase = waiting
	at, _ := slices.BinarySearchFunc(b.waiting, s, func(a, b *stream) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
	b.waiting = slices.Insert(b.waiting, at, s)
}

// admit lets waiting streams run while there is room, in their order. It calls cached
// for each to learn how many tokens of its prompt need not be computed.
func (b *batch) admit(cached func(*stream) int) {
	for len(b.waiting) > 0 && len(b.running) < b.limit {
		s := b.waiting[0]
		reserve := 0
		if len(b.running) > 0 {
			reserve = b.memory/admitReserve + len(b.running)
		}
		if b.used+s.context()+reserve >= b.memory {
			return
		}
		b.waiting = b.waiting[1:]
		b.running = append(b.running, s)
		b.used += s.context()
		s.phase = running
		s.prefill = s.context() - cached(s)
	}
}

// prefill computes prompt tokens of one step and returns how many.
func (b *batch) prefill() int {
	left := b.chunk
	for _, s := range b.running {
		n := min(left, s.prefill)
		s.prefill -= n
		left -= n
	}
	return b.chunk - left
}

// decode produces one token for each running stream that is computed so far. It returns
// the streams that got one. Streams that have reached their length are ended by the caller.
func (b *batch) decode() []*stream {
	b.makeRoom()
	var grown []*stream
	for _, s := range b.running {
		if s.prefill > 0 {
			continue
		}
		s.produced++
		b.used++
		grown = append(grown, s)
	}
	return grown
}

// makeRoom preempts streams until every running one can grow by a token. The last one
// ends early instead.
func (b *batch) makeRoom() {
	for b.used+len(b.running) > b.memory && len(b.running) > 1 {
		victim := slices.MaxFunc(b.running, func(x, y *stream) int {
			return cmp.Or(cmp.Compare(x.priority, y.priority), cmp.Compare(x.arrival, y.arrival))
		})
		b.remove(victim)
		b.add(victim)
		b.preemptions++
	}
	if len(b.running) == 1 && b.used+1 >= b.memory {
		s := b.running[0]
		s.length = min(s.length, s.produced+1)
		s.reason = "length"
	}
}

// remove takes a stream out of the batch.
func (b *batch) remove(s *stream) {
	same := func(other *stream) bool { return other == s }
	if s.phase == running {
		b.used -= s.context()
		b.running = slices.DeleteFunc(b.running, same)
	}
	b.waiting = slices.DeleteFunc(b.waiting, same)
}
