package pool

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/snapshot"
)

// Capacity returns the capacity by which other hosts choose among owners.
func (p *Pool) Capacity() Capacity {
	capacity := Capacity{Queued: p.queue.Len()}
	for _, target := range p.order {
		if !target.accepts || target.leaving {
			continue
		}
		capacity.Targets++
		capacity.FreeStreams += target.free()
		if target.usable() {
			capacity.Headroom += max(target.memory()-p.peak(target), 0)
		}
	}
	return capacity
}

// Views returns the state of each target, sorted by ID.
func (p *Pool) Views() []snapshot.TargetView {
	views := make([]snapshot.TargetView, 0, len(p.order))
	for _, target := range p.order {
		views = append(views, snapshot.TargetView{
			Target:      target.spec.ID,
			Incarnation: target.incarnation,
			Fence:       target.fence,
			Limit:       target.limit.Streams(),
			Running:     target.inUse(),
			Queued:      p.queue.Len(),
			MemoryUsed:  target.memoryUsed,
			Forecast:    p.peak(target),
			Preemptions: target.preemptions,
			Reachable:   target.reachable,
			Leaving:     target.leaving,
		})
	}
	return views
}

// peak returns the forecast peak as of the last event.
func (p *Pool) peak(target *targetState) core.Tokens {
	return p.profile(target, p.lastEvent).Peak(p.margin.Z())
}
