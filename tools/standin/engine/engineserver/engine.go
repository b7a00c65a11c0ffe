package engineserver

import (
	"fmt"
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/tools/standin/fault"
)

// engine is the state of the stand-in. It belongs to one goroutine.
type engine struct {
	options     Options
	clock       clockwork.Clock
	faults      *fault.Set
	starts      int
	incarnation string
	lost        chan struct{} // closed when the incarnation ends
	gone        chan struct{} // closed when the process is lost for good
	arrivals    uint64
	streams     map[string]*stream
	batch       *batch
	warmth      warmth
	cache       *prefixCache
	models      []modelEntry
	role        string
	fence       uint64
	leaving     bool
	published   loadReport
	building    loadReport

	stepEnds  time.Time // end of the running step; zero if nothing runs
	tickAt    time.Time // next look through the streams
	reportAt  time.Time // next publication of a load report
	downUntil time.Time // calls are cut off until then
	exitAt    time.Time // zero if the process goes on
	thaw      chan struct{}
	thawAt    time.Time // zero means that only an order ends the freeze

	timer    clockwork.Timer
	timerFor time.Time
}

func newEngine(options Options) *engine {
	e := &engine{
		options: options,
		clock:   options.Clock,
		faults:  fault.NewSet(),
		gone:    make(chan struct{}),
	}
	e.start()
	return e
}

// start begins a new incarnation, which has nothing but the model of its options.
func (e *engine) start() {
	o, now := e.options, e.clock.Now()
	e.starts++
	e.incarnation = fmt.Sprintf("%s-%d", o.Name, e.starts)
	e.lost = make(chan struct{})
	e.streams = map[string]*stream{}
	e.batch = &batch{memory: o.MemoryTokens, limit: o.WarmStreams, chunk: o.PrefillChunk}
	e.warmth = warmth{}
	e.cache = &prefixCache{entries: o.CacheEntries, gapEvery: o.CacheGapEvery}
	e.models = []modelEntry{{Model: o.Model, Version: o.Version, readyAt: now}}
	e.role = "serving"
	e.fence = 0
	e.stepEnds = time.Time{}
	e.tickAt = now.Add(tickEvery)
	e.published = e.collect(now)
	e.building = e.published
	e.reportAt = now.Add(o.LoadLag)
}

// crash ends the incarnation with all of its streams and starts the next one.
func (e *engine) crash() {
	close(e.lost)
	e.start()
}

// exit ends the process for good.
func (e *engine) exit() {
	if e.isGone() {
		return
	}
	e.crash()
	close(e.gone)
}

func (e *engine) isGone() bool {
	select {
	case <-e.gone:
		return true
	default:
		return false
	}
}

// cutOff reports whether calls are cut off now, as if no process listened.
func (e *engine) cutOff() bool {
	return e.isGone() || e.clock.Now().Before(e.downUntil)
}

// wake returns a channel that delivers when something is due.
func (e *engine) wake() <-chan time.Time {
	due := e.due()
	if e.timer != nil && due.Equal(e.timerFor) {
		return e.timer.Chan()
	}
	e.close()
	e.timer = e.clock.NewTimer(due.Sub(e.clock.Now()))
	e.timerFor = due
	return e.timer.Chan()
}

// close stops the timer.
func (e *engine) close() {
	if e.timer != nil {
		e.timer.Stop()
	}
}

// due returns when something is due next. A frozen engine only thaws.
func (e *engine) due() time.Time {
	if e.thaw != nil && !e.thawAt.IsZero() {
		return e.thawAt
	}
	if e.thaw != nil {
		return e.clock.Now().Add(time.Hour)
	}
	due := e.tickAt
	for _, at := range []time.Time{e.stepEnds, e.exitAt} {
		if !at.IsZero() && at.Before(due) {
			due = at
		}
	}
	if e.options.LoadLag > 0 && e.reportAt.Before(due) {
		due = e.reportAt
	}
	return due
}

// awake does what is due.
func (e *engine) awake() {
	e.timer = nil
	now := e.clock.Now()
	if e.thaw != nil {
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
	if !e.stepEnds.IsZero() && !now.Before(e.stepEnds) {
		e.endStep(now)
	}
	if !now.Before(e.tickAt) {
		e.tick(now)
	}
	if e.options.LoadLag > 0 && !now.Before(e.reportAt) {
		e.published = e.building
		e.building = e.collect(now)
		e.reportAt = now.Add(e.options.LoadLag)
	}
}

// unfreeze lets calls and steps go on.
func (e *engine) unfreeze() {
	close(e.thaw)
	e.thaw = nil
}
