package pace

import "time"

const (
	// limitCut is the share of the memory by which a limit goes below the load at which a pause was long.
	limitCut = 0.1
	// limitRecovery is the share of the memory by which a limit rises in a second.
	limitRecovery = 0.003
	// minLimit is the lowest limit. Pauses at a lower load have other causes than the memory.
	minLimit = 0.6
	// noLimit is the limit of memory that has made no pause long lately.
	noLimit = 1.2
)

// memoryLimit is the forecast share of an engine's memory from which its generations were preempted.
type memoryLimit struct {
	share float64
	at    time.Duration
}

func newMemoryLimit(now time.Duration) memoryLimit { return memoryLimit{share: noLimit, at: now} }

// recover raises the limit with time.
func (l *memoryLimit) recover(now time.Duration) {
	if now > l.at {
		l.share, l.at = min(l.share+limitRecovery*(now-l.at).Seconds(), noLimit), now
	}
}

// cut lowers the limit after a preemption at a forecast share of the memory. weight says how far, between 0 and 1.
func (l *memoryLimit) cut(share, weight float64, now time.Duration) {
	l.recover(now)
	l.share = max(min(l.share, l.share+weight*(share-limitCut-l.share)), minLimit)
}
