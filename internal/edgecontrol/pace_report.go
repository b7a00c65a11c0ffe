package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
	"siskintide.example/siskintide/internal/message"
)

// paceReportInterval is the least time between two reports of pace without late pauses.
const paceReportInterval = 300 * time.Millisecond

// paceReport holds what this host has seen of the engines' pace and not yet reported.
type paceReport struct {
	unsent map[core.TargetID]pace.Sums
	late   bool // there is a late pause among them
	sentAt time.Duration
}

func (r *paceReport) add(target core.TargetID, sums pace.Sums) {
	if r.unsent == nil {
		r.unsent = map[core.TargetID]pace.Sums{}
	}
	r.unsent[target] = r.unsent[target].Plus(sums)
	r.late = r.late || sums.Late > 0
}

// due reports whether there is something to report now.
func (r *paceReport) due(now time.Duration) bool {
	return len(r.unsent) > 0 && (r.late || now-r.sentAt >= paceReportInterval)
}

// list returns what is to be reported.
func (r *paceReport) list() []message.TargetPace {
	var all []message.TargetPace
	for id, sums := range r.unsent {
		all = append(all, message.TargetPace{Target: id, Events: sums.Events, Time: sums.Time, Late: sums.Late, Longest: sums.Longest, Goal: sums.Goal, LateStreams: sums.LateStreams})
	}
	return all
}

// clear drops what has been reported.
func (r *paceReport) clear(now time.Duration) {
	clear(r.unsent)
	r.late, r.sentAt = false, now
}
