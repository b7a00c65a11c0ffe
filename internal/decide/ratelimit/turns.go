package ratelimit

// turns decides whose turn it is by start-time fair queueing: each key gets permits in proportion to
// its weight as long as it has requests, and saves up nothing while it has none.
type turns[K comparable] struct {
	finish map[K]float64 // virtual time at which the last permit of a key ends
	now    float64       // virtual time at which the last permit began
}

func newTurns[K comparable]() *turns[K] { return &turns[K]{finish: map[K]float64{}} }

// start returns the virtual time at which the next permit of a key begins; the lowest one is next.
func (t *turns[K]) start(key K) float64 { return max(t.finish[key], t.now) }

// record counts a permit used by a key.
func (t *turns[K]) record(key K, weight float64) {
	begin := t.start(key)
	t.finish[key], t.now = begin+1/weight, max(t.now, begin)
}

// prune forgets the keys that have nothing to wait for.
func (t *turns[K]) prune() {
	for key, finish := range t.finish {
		if finish <= t.now {
			delete(t.finish, key)
		}
	}
}
