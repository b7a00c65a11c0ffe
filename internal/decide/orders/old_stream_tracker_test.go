package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func listed(ids ...core.GenerationID) core.LoadReport {
	report := core.LoadReport{ListsStreams: true}
	for _, id := range ids {
		report.Streams = append(report.Streams, core.StreamLoad{Generation: id})
	}
	return report
}

// TestFormerCountsNoStreamTooFew: an old or lagging report that lists nothing does not end
// a stream, nor does a list that lacks a stream whose ticket is open.
func TestFormerCountsNoStreamTooFew(t *testing.T) {
	start := time.Unix(1000, 0)
	ticket, foreign, later := core.GenerationID{1}, core.GenerationID{2}, core.GenerationID{3}
	var f OldStreamTracker
	require.Zero(t, f.Count())
	f.Reset([]core.GenerationID{ticket}, start)
	require.Equal(t, 2, f.Count(), "streams that no report has listed yet may run")

	lagging := listed()
	lagging.Age = 3 * time.Second
	f.HandleReport(lagging, nil, start.Add(4*time.Second))
	require.Equal(t, 2, f.Count(), "the report may be older than the switch")

	f.HandleReport(listed(foreign), []core.GenerationID{ticket}, start.Add(5*time.Second))
	require.Equal(t, 2, f.Count(), "one under a ticket, one listed only")
	f.HandleReport(listed(foreign, later), nil, start.Add(6*time.Second))
	require.Equal(t, 1, f.Count(), "a stream that started later runs on the new version")
	f.HandleReport(listed(later), nil, start.Add(7*time.Second))
	require.Zero(t, f.Count())
}
