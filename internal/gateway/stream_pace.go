package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

// paceFlushInterval is the time after which a stream's sums are passed on. An event to the control goroutine for each
// event of a stream would cost weak hosts more than the relay itself.
const paceFlushInterval = 250 * time.Millisecond

// slowWrite is the time from which a write to the caller holds up the reading of the engine's next event. The pause
// before that event is then the caller's.
const slowWrite = 10 * time.Millisecond

// streamPace sums the times between the events of one stream. The zero streamPace records nothing.
type streamPace struct {
	goal      time.Duration // longest pause that is not late; zero if the pace is not learned
	target    core.TargetID // engine that has sent the last event
	eventAt   time.Duration // time of that event
	since     time.Duration // time until which the pause after it has been recorded
	flushedAt time.Duration
	sums      pace.Sums
	late      int  // pauses recorded as late, over the whole stream
	held      bool // the caller has held up the next event
}

// event records an event that was received from an engine, and has been written to the caller by now. It reports
// whether the sums are to be passed on.
func (p *streamPace) event(target core.TargetID, received, now time.Duration) bool {
	if p.goal <= 0 {
		return false
	}
	counts := target == p.target && !p.held
	if target != p.target { // the pause belongs to the switch
		p.target, p.flushedAt, p.sums = target, now, pace.Sums{}
	}
	if counts {
		p.record(received)
	}
	p.held, p.since = now-received >= slowWrite, received
	if p.held {
		p.since = now
	}
	p.eventAt = p.since
	return p.sums.Late > 0 || now-p.flushedAt >= paceFlushInterval
}

// endRun records that the run at the engine has failed. The pause until another engine sends an event is that of neither.
func (p *streamPace) endRun() { p.target = "" }

// record adds the time until now that has not been recorded yet.
func (p *streamPace) record(now time.Duration) {
	before := p.sums.Late
	p.sums.Record(now-p.since, p.goal)
	p.sums.Longest = max(p.sums.Longest, now-p.eventAt)
	if p.late == 0 && p.sums.Late > before {
		p.sums.LateStreams++
	}
	p.late += p.sums.Late - before
	p.since = now
}

// due returns the time at which the pause that is under way is recorded as late; zero for none.
func (p *streamPace) due() time.Duration {
	if p.goal <= 0 || p.target == "" {
		return 0
	}
	return p.since + p.goal + time.Millisecond
}

// overdue records a pause that is under way and exceeds the goal, since a silent engine sends no event that would.
// It reports whether the sums are to be passed on.
func (p *streamPace) overdue(now time.Duration) bool {
	if due := p.due(); due == 0 || now < due {
		return false
	}
	p.record(now)
	return true
}

// take returns the sums since the last call.
func (p *streamPace) take(now time.Duration) pace.Sums {
	sums := p.sums
	p.sums, p.flushedAt = pace.Sums{}, now
	return sums
}
