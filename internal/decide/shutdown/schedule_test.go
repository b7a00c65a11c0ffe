package shutdown

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

var schedule = &Schedule{ConnectionsUntil: 2500 * ms, ResponsesUntil: 7500 * ms}

// TestAdmits guards against requests that a host takes while it shuts down and cannot finish.
func TestAdmits(t *testing.T) {
	call := func(timeLeft time.Duration) Request { return Request{TimeLeft: timeLeft} }
	stream := Request{TimeLeft: 39 * time.Second, Expected: 1200 * ms, Longest: 2200 * ms}
	for name, c := range map[string]struct {
		schedule *Schedule
		request  Request
		now      time.Duration
		want     bool
	}{
		"no shutdown":                            {nil, call(time.Hour), 7400 * ms, true},
		"call that ends in time":                 {schedule, call(1500 * ms), 6000 * ms, true},
		"call that may end a moment too late":    {schedule, call(1501 * ms), 6000 * ms, false},
		"call with a long timeout, early":        {schedule, call(20 * time.Second), 2499 * ms, true},
		"call with a long timeout, late":         {schedule, call(20 * time.Second), 2500 * ms, false},
		"stream whose forecast fits, early":      {schedule, stream, 2400 * ms, true},
		"stream whose forecast is long, early":   {schedule, Request{TimeLeft: time.Minute, Expected: 4 * time.Second}, 0, false},
		"stream whose greatest length fits":      {schedule, stream, 3100 * ms, true},
		"stream whose greatest length is long":   {schedule, stream, 3101 * ms, false},
		"stream without a greatest length, late": {schedule, Request{TimeLeft: time.Minute, Expected: 10 * ms}, 2500 * ms, false},
		"nothing fits at the end":                {schedule, call(0), 7500 * ms, false},
	} {
		require.Equal(t, c.want, c.schedule.Admits(c.request, c.now), name)
	}
}

// TestAdmittedLateEndsInTime guards against a late request that is admitted and that its host cuts off: no
// request of any kind may take longer than the time that is left.
func TestAdmittedLateEndsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duration := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 40_000).Draw(t, name)) * ms
		}
		now := schedule.ConnectionsUntil + duration("after the balancer")
		request := Request{TimeLeft: duration("time left"), Expected: duration("expected"), Longest: duration("longest")}
		if !schedule.Admits(request, now) {
			return
		}
		longest := request.TimeLeft
		if request.Longest > 0 {
			longest = min(longest, forecastMargin*request.Longest)
		}
		require.LessOrEqual(t, now+longest, schedule.ResponsesUntil)
		later := now + duration("later")
		if later+longest > schedule.ResponsesUntil {
			require.False(t, schedule.Admits(request, later), "admitted later, when too little time is left")
		}
	})
}

func TestLeft(t *testing.T) {
	require.Equal(t, time.Minute, (*Schedule)(nil).Left(0, time.Minute))
	require.Equal(t, 500*ms, schedule.Left(7000*ms, time.Minute))
	require.Equal(t, 100*ms, schedule.Left(7000*ms, 100*ms))
	require.True(t, schedule.AllowsMove(6500*ms))
	require.False(t, schedule.AllowsMove(6501*ms))
}
