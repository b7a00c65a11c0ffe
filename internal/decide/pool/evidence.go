package pool

import "time"

// defaultWarmUp is how long a target works at its cold floor before its limit may grow,
// unless its kind declares another time. Short answers end within the bounds long before
// a target is warm, so that their number alone says little.
const defaultWarmUp = 10 * time.Second

// learnHealthy takes in that a stream ran for a time and ended within the bounds. The limit
// grows once such streams amount to the cold floor in use for the whole warm-up.
func (t *targetState) learnHealthy(ran time.Duration) {
	t.healthy += ran
	if t.healthy >= t.warmUp()*time.Duration(max(t.kind.ColdStreams, 1)) {
		t.limit.Grow(t.inUse())
	}
}

func (t *targetState) warmUp() time.Duration {
	if t.kind.WarmUpS > 0 {
		return time.Duration(t.kind.WarmUpS) * time.Second
	}
	return defaultWarmUp
}
