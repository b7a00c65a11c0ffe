package failover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A fresh registry must cost no reports; a stale one a report in each interval, one at a time.
func TestReportSchedule(t *testing.T) {
	const ms = time.Millisecond
	schedule := &ReportSchedule{}
	now := time.Hour
	require.Equal(t, now+reportAfter, schedule.Due(now, 0))
	require.Equal(t, now+300*ms, schedule.Due(now, reportAfter-300*ms))
	require.Equal(t, now, schedule.Due(now, reportAfter))
	schedule.RecordRequest(now)
	require.Zero(t, schedule.Due(now+10*time.Second, reportAfter), "one at a time")
	schedule.RecordResult()
	require.Equal(t, now+reportInterval, schedule.Due(now+20*ms, reportAfter+time.Hour))
	require.Equal(t, now+time.Second+reportAfter, schedule.Due(now+time.Second, 0), "the registry is followed again")
}
