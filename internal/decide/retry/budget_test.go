package retry

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A data centre that fails every request receives the requests themselves and retries up to
// the initial credit, no more.
func TestDeadDataCentreDoesNotMultiplyLoad(t *testing.T) {
	const requests, burst = 10_000, 20
	budget, sent := NewBudget(burst), 0
	for range requests {
		sent++
		for range 3 { // every request asks for three retries
			next, ok := budget.TrySpend()
			budget = next
			if ok {
				sent++
			}
		}
	}
	require.Equal(t, requests+burst, sent)
}

func TestRetriesStayUnderATenthOfSuccesses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		burst := rapid.Int64Range(0, 50).Draw(t, "burst")
		budget, successes, retries := NewBudget(burst), int64(0), int64(0)
		for _, success := range rapid.SliceOf(rapid.Bool()).Draw(t, "events") {
			if success {
				budget = budget.RecordSuccess()
				successes++
				continue
			}
			next, ok := budget.TrySpend()
			if ok {
				retries++
			}
			budget = next
			require.LessOrEqual(t, retries*tenthsPerRetry, burst*tenthsPerRetry+successes)
		}
	})
}
