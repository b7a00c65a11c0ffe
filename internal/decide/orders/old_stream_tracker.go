package orders

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// maxReportDelay is the longest time that a load report takes to arrive. The content of a
// report may be older than its Age by that much.
const maxReportDelay = 2 * time.Second

// OldStreamTracker tracks the streams of a target that may run on an old version of the
// model. It may count too many streams but never too few: it starts with the streams that
// have open tickets, and adds all streams of the first load report that was certainly
// taken after Reset.
type OldStreamTracker struct {
	resetAt  time.Time // zero before the first Reset
	complete bool      // a report from after resetAt has been handled
	streams  map[core.GenerationID]bool
}

// Reset starts tracking anew. It is called when new work switches to another version, or
// when the target gets no new work any more.
func (t *OldStreamTracker) Reset(open []core.GenerationID, now time.Time) {
	*t = OldStreamTracker{resetAt: now, streams: map[core.GenerationID]bool{}}
	for _, id := range open {
		t.streams[id] = true
	}
}

// HandleReport handles a load report of the engine, which lists its streams. A stream has
// ended when it is not listed and has no open ticket.
func (t *OldStreamTracker) HandleReport(report core.LoadReport, open []core.GenerationID, now time.Time) {
	asOf := now.Add(-report.Age - maxReportDelay)
	if t.resetAt.IsZero() || !asOf.After(t.resetAt) {
		return
	}
	running := map[core.GenerationID]bool{}
	for _, id := range open {
		running[id] = true
	}
	for _, stream := range report.Streams {
		running[stream.Generation] = true
		if !t.complete {
			t.streams[stream.Generation] = true
		}
	}
	t.complete = true
	for id := range t.streams {
		if !running[id] {
			delete(t.streams, id)
		}
	}
}

// Count returns how many streams may run on an old version. Before the first report after
// Reset it includes one stream for those that are not known yet.
func (t *OldStreamTracker) Count() int {
	if !t.resetAt.IsZero() && !t.complete {
		return len(t.streams) + 1
	}
	return len(t.streams)
}
