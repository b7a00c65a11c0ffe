package orders

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// reportTransit is the longest time that a load report is on its way, by which its content
// may be older than its own age says.
const reportTransit = 2 * time.Second

// OldStreamTracker follows the streams of a target that may run on a former version. It counts a
// stream too many rather than one too few: the tickets open at the start, and all streams
// in the first load report that is certainly later.
type OldStreamTracker struct {
	since    time.Time // zero until Start
	complete bool      // a report from after the start was taken in
	streams  map[core.GenerationID]bool
}

// Reset begins anew when callers switch to another version or the target stops work.
func (f *OldStreamTracker) Reset(open []core.GenerationID, now time.Time) {
	*f = OldStreamTracker{since: now, streams: map[core.GenerationID]bool{}}
	for _, id := range open {
		f.streams[id] = true
	}
}

// HandleReport takes in the engine's own list of streams. A stream has ended when it is
// neither listed nor under an open ticket.
func (f *OldStreamTracker) HandleReport(report core.LoadReport, open []core.GenerationID, now time.Time) {
	asOf := now.Add(-report.Age - reportTransit)
	if f.since.IsZero() || !asOf.After(f.since) {
		return
	}
	alive := map[core.GenerationID]bool{}
	for _, id := range open {
		alive[id] = true
	}
	for _, stream := range report.Streams {
		alive[stream.Generation] = true
		if !f.complete {
			f.streams[stream.Generation] = true
		}
	}
	f.complete = true
	for id := range f.streams {
		if !alive[id] {
			delete(f.streams, id)
		}
	}
}

// Count returns how many streams may run on a former version.
func (f *OldStreamTracker) Count() int {
	if !f.since.IsZero() && !f.complete {
		return len(f.streams) + 1
	}
	return len(f.streams)
}
