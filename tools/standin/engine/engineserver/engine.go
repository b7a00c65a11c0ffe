package engineserver

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/tools/standin/fault"
)

// engine is the state of the stand-in. It belongs to one goroutine.
type engine struct {
	options          Options
	clock            clockwork.Clock
	faults           *fault.Set
	startCount       int
	incarnation      string
	incarnationEnded chan struct{} // closed when the incarnation ends
	exited           chan struct{} // closed when the process ends for good
	arrivals         uint64
	streams          map[string]*stream
	batch            *batch
	warmState        warmState
	cache            *prefixCache
	models           []modelEntry
	role             string
	fence            uint64
	leaving          bool
	publishedLoad    loadReport
	pendingLoad      loadReport

	stepEndsAt time.Time     // end of the running step; zero if nothing runs
	sweepAt    time.Time     // next removal of abandoned and expired streams
	reportAt   time.Time     // next publication of a load report
	downUntil  time.Time     // connections are aborted until then
	exitAt     time.Time     // zero if no exit is scheduled
	thawed     chan struct{} // closed when the freeze ends; nil if the engine is not frozen
	thawAt     time.Time     // zero means that only the fault "clear" ends the freeze

	timer   clockwork.Timer
	timerAt time.Time
}

func newEngine(options Options) *engine {
	e := &engine{
		options: options,
		clock:   options.Clock,
		faults:  fault.NewSet(),
		exited:  make(chan struct{}),
	}
	e.start()
	return e
}

// start begins a new incarnation with no streams and only the model of its options.
func (e *engine) start() {
	o, now := e.options, e.clock.Now()
	e.startCount++
	e.incarnation = fmt.Sprintf("%s-%d", o.Name, e.startCount)
	e.incarnationEnded = make(chan struct{})
	e.streams = map[string]*stream{}
	e.batch = &batch{memoryTokens: o.MemoryTokens, maxRunning: o.WarmStreams, prefillChunk: o.PrefillChunk}
	e.warmState = warmState{}
	e.cache = &prefixCache{entries: o.CacheEntries, gapEvery: o.CacheGapEvery}
	e.models = []modelEntry{{Model: o.Model, Version: o.Version, readyAt: now}}
	e.role = "serving"
	e.fence = 0
	e.stepEndsAt = time.Time{}
	e.sweepAt = now.Add(sweepInterval)
	e.publishedLoad = e.collectLoad(now)
	e.pendingLoad = e.publishedLoad
	e.reportAt = now.Add(o.LoadLag)
}

// crash ends the incarnation and all its streams, and starts the next one.
func (e *engine) crash() {
	close(e.incarnationEnded)
	e.start()
}

// exit ends the process for good.
func (e *engine) exit() {
	if e.hasExited() {
		return
	}
	e.crash()
	close(e.exited)
}

func (e *engine) hasExited() bool {
	select {
	case <-e.exited:
		return true
	default:
		return false
	}
}

// isDown reports whether connections are aborted now, as if no process listened.
func (e *engine) isDown() bool {
	return e.hasExited() || e.clock.Now().Before(e.downUntil)
}

// nextWake returns a channel that receives when the next event is due.
func (e *engine) nextWake() <-chan time.Time {
	due := e.due()
	if e.timer != nil && due.Equal(e.timerAt) {
		return e.timer.Chan()
	}
	e.close()
	e.timer = e.clock.NewTimer(due.Sub(e.clock.Now()))
	e.timerAt = due
	return e.timer.Chan()
}

// close stops the timer.
func (e *engine) close() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

// due returns the time of the next event. For a frozen engine that is the end of the freeze,
// or an hour from now if only the fault "clear" ends it.
func (e *engine) due() time.Time {
	if e.thawed != nil && !e.thawAt.IsZero() {
		return e.thawAt
	}
	if e.thawed != nil {
		return e.clock.Now().Add(time.Hour)
	}
	due := e.sweepAt
	for _, at := range []time.Time{e.stepEndsAt, e.exitAt} {
		if !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	if e.options.LoadLag > 0 && e.reportAt.Before(due) {
		due = e.reportAt
	}
	return due
}

// runDue handles all events that are due.
func (e *engine) runDue() {
	e.timer = nil
	now := e.clock.Now()
	if e.thawed != nil {
		if !e.thawAt.IsZero() && !now.Before(e.thawAt) {
			e.unfreeze()
		}
		return
	}
	if !e.exitAt.IsZero() && !now.Before(e.exitAt) {
		e.exitAt = time.Time{}
		e.exit()
		return
	}
	if !e.stepEndsAt.IsZero() && !now.Before(e.stepEndsAt) {
		e.endStep(now)
	}
	if !now.Before(e.sweepAt) {
		e.sweep(now)
	}
	if e.options.LoadLag > 0 && !now.Before(e.reportAt) {
		e.publishedLoad = e.pendingLoad
		e.pendingLoad = e.collectLoad(now)
		e.reportAt = now.Add(e.options.LoadLag)
	}
}

// unfreeze resumes blocked requests and decoding steps.
func (e *engine) unfreeze() {
	close(e.thawed)
	e.thawed = nil
}
