package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/forecast"
	"siskintide.example/siskintide/internal/decide/warmup"
)

// targetState is the owner's state of one target.
type targetState struct {
	spec               core.Target
	kind               core.TargetKind
	fence              core.Fence
	accepts            bool
	acquiredAt         time.Time
	takenOver          bool // another host owned the target before
	reported           bool // a report of the current incarnation has arrived
	reachable          bool
	incarnationUnclear bool // reports of two incarnations have arrived in an unclear order
	leaving            bool
	settled            bool // streams of former owners' tickets are listed or have ended
	incarnation        core.Incarnation
	limit              warmup.Limit
	tickets            ticketSet
	foreign            []core.StreamLoad // listed streams without a ticket here
	asOf               time.Time         // time to which the newest report refers
	listsStreams       bool              // reports contain the list of running streams
	memoryUsed         core.Tokens
	memoryTotal        core.Tokens
	preemptions        uint64
	flushes            uint64
	coldSince          time.Time      // when the limit was last reset to the cold floor
	healthyTime        time.Duration  // total time of streams granted since coldSince that ended within the bounds
	tokenGapMS         float64        // average time between tokens
	inherited          inheritedLimit // from a former owner, until the first report
	profile            forecast.Profile
	profileAt          time.Time
	dirty              bool // profile has to be computed again
}

func newTargetState() *targetState {
	return &targetState{
		tickets:    ticketSet{byID: map[core.GenerationID]*ticketState{}},
		tokenGapMS: defaultTokenGapMS,
		dirty:      true,
	}
}

// usable reports whether tickets may be granted, apart from the stream limit.
func (t *targetState) usable() bool {
	return t.accepts && t.reported && t.reachable && t.settled && !t.incarnationUnclear && !t.leaving
}

// inUse returns the number of streams that run or may run on the target.
func (t *targetState) inUse() int { return t.tickets.Len() + len(t.foreign) }

// free returns the number of further tickets that the stream limit allows.
func (t *targetState) free() int {
	if !t.usable() {
		return 0
	}
	return max(t.limit.Streams()-t.inUse(), 0)
}

// memory returns the target's memory in tokens, or zero if it is not bounded.
func (t *targetState) memory() core.Tokens {
	if t.memoryTotal <= 0 {
		return t.kind.MemoryTokens
	}
	if t.kind.MemoryTokens <= 0 {
		return t.memoryTotal
	}
	return min(t.kind.MemoryTokens, t.memoryTotal)
}

// resetToCold lowers the limit to the cold floor. Only streams granted after this can
// raise it again.
func (t *targetState) resetToCold(now time.Time) {
	t.limit.ResetToCold()
	t.coldSince = now
	t.healthyTime = 0
}

// restart resets everything that was learned about a former incarnation.
func (t *targetState) restart(incarnation core.Incarnation, now time.Time) {
	t.incarnation = incarnation
	t.reported = true
	t.resetToCold(now)
	t.preemptions = 0
	t.flushes = 0
	t.memoryUsed = 0
	t.foreign = nil
	t.dirty = true
}
