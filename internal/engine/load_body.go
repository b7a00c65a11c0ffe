package engine

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// loadBody is the encoded form of a load report.
type loadBody struct {
	Incarnation core.Incarnation `json:"incarnation"`
	AgeMS       int64            `json:"age_ms"`
	Streams     []streamBody     `json:"streams"`
	MemoryUsed  core.Tokens      `json:"memory_used"`
	MemoryTotal core.Tokens      `json:"memory_total"`
	Preemptions uint64           `json:"preemptions"`
	CacheFlush  uint64           `json:"cache_flush"`
	Leaving     bool             `json:"leaving"`
}

// report returns the load report of a target.
func (b *loadBody) report(target core.TargetID) core.LoadReport {
	streams := make([]core.StreamLoad, len(b.Streams))
	for i, s := range b.Streams {
		streams[i] = core.StreamLoad{Generation: s.ID, Context: s.Context}
	}
	return core.LoadReport{
		Target:       target,
		Incarnation:  b.Incarnation,
		Age:          time.Duration(b.AgeMS) * time.Millisecond,
		ListsStreams: true,
		Streams:      streams,
		MemoryUsed:   b.MemoryUsed,
		MemoryTotal:  b.MemoryTotal,
		Preemptions:  b.Preemptions,
		CacheFlush:   b.CacheFlush,
		Leaving:      b.Leaving,
	}
}
