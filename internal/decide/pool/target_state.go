package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/forecast"
	"siskintide.example/siskintide/internal/decide/warmup"
)

// targetState is the owner's account of one target.
type targetState struct {
	spec        core.Target
	kind        core.TargetKind
	fence       core.Fence
	accepts     bool
	acquiredAt  time.Time
	taken       bool // the target had another owner before
	known       bool // a report of the current incarnation has come
	reachable   bool
	doubtful    bool // reports of two incarnations have come, and the order is not clear
	leaving     bool
	settled     bool // no ticket of a former owner can still start
	incarnation core.Incarnation
	limit       warmup.Limit
	tickets     ticketSet
	foreign     []core.StreamLoad // listed streams without a ticket here
	asOf        time.Time         // age of the newest report's content
	lists       bool
	memoryUsed  core.Tokens
	memoryTotal core.Tokens
	preemptions uint64
	flushes     uint64
	coldSince   time.Time     // when the limit last fell to the cold floor
	healthy     time.Duration // time of streams since then that ended within the bounds
	gapMS       float64       // measured time between tokens
	inherited   inherited     // from a former owner, until the first report
	profile     forecast.Profile
	profileAt   time.Time
	dirty       bool
}

func newTargetState() *targetState {
	return &targetState{
		tickets: ticketSet{byID: map[core.GenerationID]*ticketState{}},
		gapMS:   defaultGapMS,
		dirty:   true,
	}
}

// usable reports whether tickets may be granted at all.
func (t *targetState) usable() bool {
	return t.accepts && t.known && t.reachable && t.settled && !t.doubtful && !t.leaving
}

// inUse returns the number of streams that run or may run on the target.
func (t *targetState) inUse() int { return t.tickets.Len() + len(t.foreign) }

// free returns the number of tickets that the stream limit allows.
func (t *targetState) free() int {
	if !t.usable() {
		return 0
	}
	return max(t.limit.Streams()-t.inUse(), 0)
}

// memory returns the tokens that the target's memory holds, or zero if it has no bound.
func (t *targetState) memory() core.Tokens {
	if t.memoryTotal <= 0 {
		return t.kind.MemoryTokens
	}
	if t.kind.MemoryTokens <= 0 {
		return t.memoryTotal
	}
	return min(t.kind.MemoryTokens, t.memoryTotal)
}

// fallCold lowers the limit to the cold floor. Only streams granted from now on are
// evidence that the target bears more.
func (t *targetState) fallCold(now time.Time) {
	t.limit.ResetToCold()
	t.coldSince = now
	t.healthy = 0
}

// restart forgets everything that a former incarnation was known to bear.
func (t *targetState) restart(incarnation core.Incarnation, now time.Time) {
	t.incarnation = incarnation
	t.known = true
	t.fallCold(now)
	t.preemptions = 0
	t.flushes = 0
	t.memoryUsed = 0
	t.foreign = nil
	t.dirty = true
}
