package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func reportOf(ids ...core.GenerationID) core.LoadReport {
	report := core.LoadReport{ListsStreams: true}
	for _, id := range ids {
		report.Streams = append(report.Streams, core.StreamLoad{Generation: id})
	}
	return report
}

// TestOldStreamTrackerNeverUndercounts checks that a stream is not counted as ended because
// of an old or delayed report, or while its ticket is open.
func TestOldStreamTrackerNeverUndercounts(t *testing.T) {
	start := time.Unix(1000, 0)
	ticketed, reported, later := core.GenerationID{1}, core.GenerationID{2}, core.GenerationID{3}
	var tracker OldStreamTracker
	require.Zero(t, tracker.Count())
	tracker.Reset([]core.GenerationID{ticketed}, start)
	require.Equal(t, 2, tracker.Count(), "streams may run that no report has listed yet")

	delayed := reportOf()
	delayed.Age = 3 * time.Second
	tracker.HandleReport(delayed, nil, start.Add(4*time.Second))
	require.Equal(t, 2, tracker.Count(), "the report may be older than the switch")

	tracker.HandleReport(reportOf(reported), []core.GenerationID{ticketed}, start.Add(5*time.Second))
	require.Equal(t, 2, tracker.Count(), "one with an open ticket, one only in the report")
	tracker.HandleReport(reportOf(reported, later), nil, start.Add(6*time.Second))
	require.Equal(t, 1, tracker.Count(), "a stream that started later runs on the new version")
	tracker.HandleReport(reportOf(later), nil, start.Add(7*time.Second))
	require.Zero(t, tracker.Count())
}
