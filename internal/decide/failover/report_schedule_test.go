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
	require.Equal(t, now+reportAfter, schedule.Due(now, 0, false))
	require.Equal(t, now+300*ms, schedule.Due(now, reportAfter-300*ms, false))
	require.Equal(t, now, schedule.Due(now, reportAfter, false))
	schedule.RecordRequest(now)
	require.Zero(t, schedule.Due(now+10*time.Second, reportAfter, true), "one at a time")
	schedule.RecordResult()
	require.Equal(t, now+reportInterval, schedule.Due(now+20*ms, reportAfter+time.Hour, false))
	require.Equal(t, now+time.Second+reportAfter, schedule.Due(now+time.Second, 0, false), "the registry is followed again")
	require.Equal(t, now+reportInterval, schedule.Due(now+20*ms, 0, true), "the entry is missing")
	require.Equal(t, now+time.Second, schedule.Due(now+time.Second, 0, true))
}
