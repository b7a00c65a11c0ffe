package ratelimit

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// demandTTL is how long after its last request a flow counts as having demand.
const demandTTL = 4 * time.Second

// demand tracks which flows have requests.
type demand struct {
	seen map[flow]time.Duration // last request of each flow
}

func newDemand() *demand { return &demand{seen: map[flow]time.Duration{}} }

func (d *demand) record(f flow, now time.Duration) { d.seen[f] = now }

// expire drops the flows without demand and returns them.
func (d *demand) expire(now time.Duration) []flow {
	var gone []flow
	for f, at := range d.seen {
		if now-at > demandTTL {
			delete(d.seen, f)
			gone = append(gone, f)
		}
	}
	return gone
}

// share returns the part of all permits that is due to a flow: by the weight of its priority, and evenly
// among the teams of a priority.
func (d *demand) share(f flow) float64 {
	teams, weights := 1, map[core.Priority]float64{f.priority: weight(f.priority)}
	for other := range d.seen {
		weights[other.priority] = weight(other.priority)
		if other.priority == f.priority && other.team != f.team {
			teams++
		}
	}
	total := 0.0
	for _, w := range weights {
		total += w
	}
	return weight(f.priority) / total / float64(teams)
}
