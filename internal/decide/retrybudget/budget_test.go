package retrybudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestAllHostsTogetherStayUnderTheBound checks that in every sliding window the retries of
// all hosts stay within the bound, given the requests of this window and the one before
// it.
func TestAllHostsTogetherStayUnderTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Ratio: 0.2, Slack: float64(rapid.IntRange(0, 100).Draw(t, "slack")), Window: 10 * time.Second}
		hosts := rapid.IntRange(1, 9).Draw(t, "hosts")
		budgets := make([]*Budget, hosts)
		for i := range budgets {
			budgets[i] = NewBudget(limits)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "wait")) * time.Millisecond
			budget := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "request") {
				budget.RecordRequest(now)
				requests = append(requests, now)
			} else if budget.TrySpend(now, hosts) {
				retries = append(retries, now)
			}
			earned := within(requests, now-2*limits.Window, now)
			require.LessOrEqual(t, float64(within(retries, now-limits.Window, now)), limits.Ratio*float64(earned)+limits.Slack)
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

func TestShareReturnsAfterTheWindow(t *testing.T) {
	budget := NewBudget(Limits{Slack: 10, Window: 10 * time.Second})
	for budget.TrySpend(0, 2) {
	}
	require.Zero(t, budget.Remaining(5*time.Second, 2))
	require.Equal(t, 4, budget.Remaining(12*time.Second, 2))
}
