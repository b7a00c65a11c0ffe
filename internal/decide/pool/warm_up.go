package pool

import "time"

// defaultWarmUp is how long a target has to run at its cold floor before its limit may
// grow, unless its kind declares another time. The number of completed streams alone is
// not enough evidence, because short streams end within the bounds long before a target is
// warm.
const defaultWarmUp = 10 * time.Second

// addHealthyTime adds the time of a stream that ended within the bounds. The limit grows
// once this time adds up to the full warm-up with all streams of the cold floor in use.
func (t *targetState) addHealthyTime(ran time.Duration) {
	t.healthyTime += ran
	if t.healthyTime >= t.warmUp()*time.Duration(max(t.kind.ColdStreams, 1)) {
		t.limit.Grow(t.inUse())
	}
}

func (t *targetState) warmUp() time.Duration {
	if t.kind.WarmUpS > 0 {
		return time.Duration(t.kind.WarmUpS) * time.Second
	}
	return defaultWarmUp
}
