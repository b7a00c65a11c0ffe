package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Over every sliding window the second sends of all hosts stay under the bound, with the
// requests counted in the window or the one before it.
func TestAllHostsTogetherStayUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 100).Draw(t, "slack")), Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		ledgers := make([]*Budget, hosts)
		for i := range ledgers {
			ledgers[i] = NewBudget(limits)
		}
		var requests, repeats []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond
			ledger := ledgers[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "request") {
				ledger.RecordRequest(now)
				requests = append(requests, now)
			} else if ledger.TrySpend(now, hosts) {
				repeats = append(repeats, now)
			}
			earned := within(requests, now-2*limits.Window, now)
			require.LessOrEqual(t, float64(within(repeats, now-limits.Window, now)), limits.Ratio*float64(earned)+limits.Slack)
		}
	})
}

func within(times []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range times {
		if at > from && at <= to {
			count++
		}
	}
	return count
}

func TestShareComesBackWithTime(t *testing.T) {
	ledger := NewBudget(Limits{Slack: 10, Window: 10 * time.Second})
	for ledger.TrySpend(0, 2) {
	}
	require.Zero(t, ledger.Remaining(5*time.Second, 2))
	require.Equal(t, 4, ledger.Remaining(12*time.Second, 2))
}
