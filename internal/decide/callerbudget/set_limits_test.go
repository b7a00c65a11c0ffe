package callerbudget

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestShrunkBudget guards against a smaller budget that admits anything before enough was returned, or that fails answers of
// requests that are in work.
func TestShrunkBudget(t *testing.T) {
	b := New(Limits{Bytes: 1000, Connections: 10})
	require.Empty(t, b.Take(Head, "a", 700))
	b.SetLimits(Limits{Bytes: 500, Connections: 10})
	for class := Connection; class <= Body; class++ {
		require.Equal(t, NoMemory, b.Take(class, "a", 1))
	}
	require.True(t, b.Overdrawn())
	require.Empty(t, b.Take(Answer, "", 60))
	require.Empty(t, b.Take(LargeAnswer, "", 50))
	require.Equal(t, NoMemory, b.Take(Answer, "", 1), "0.22 of the new budget beyond what was in use")
	b.Give("", 110)
	b.Give("a", 200)
	require.False(t, b.Overdrawn())
	require.Equal(t, NoMemory, b.Take(Body, "a", 1))
	b.Give("a", 150)
	require.Empty(t, b.Take(Body, "a", 40))
	require.Equal(t, NoMemory, b.Take(Body, "a", 1))
	require.Empty(t, b.Take(Answer, "", 110))
	require.Equal(t, NoMemory, b.Take(Answer, "", 1), "as usual again")
}

// TestGrownBudget guards against a larger budget that takes effect only at the next start.
func TestGrownBudget(t *testing.T) {
	b := New(Limits{Bytes: ConnectionBytes * 2, Connections: 1})
	require.Empty(t, b.TakeConnection("a"))
	require.Equal(t, NoConnections, b.TakeConnection("a"))
	b.SetLimits(Limits{Bytes: ConnectionBytes * 10, Connections: 2})
	require.Empty(t, b.TakeConnection("a"))
	b.SetLimits(Limits{Bytes: ConnectionBytes * 10, Connections: 1})
	require.True(t, b.Overdrawn())
	b.GiveConnection("a")
	require.Equal(t, NoConnections, b.TakeConnection("a"))
	b.GiveConnection("a")
	require.Empty(t, b.TakeConnection("a"))
}

// TestBudgetIsKeptWhileItChanges guards against a sum that rises above the budgets in force, or an allowance for answers
// that stays.
func TestBudgetIsKeptWhileItChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(Limits{Bytes: 1 << 20, Connections: 20})
		highest := int64(1 << 20) // bytes that may be in use
		var taken []int64
		for range rapid.IntRange(0, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				n := rapid.Int64Range(1, 1<<18).Draw(t, "bytes")
				class := Class(rapid.IntRange(1, int(classCount)-1).Draw(t, "class"))
				before := b.Used()
				if b.Take(class, "a", n) == "" {
					taken = append(taken, n)
					if class <= Body {
						require.LessOrEqual(t, float64(before+n), ceilings[class]*float64(b.limits.Bytes))
					}
				}
			case 2:
				if len(taken) > 0 {
					b.Give("a", taken[0])
					taken = taken[1:]
				}
			case 3:
				size := rapid.Int64Range(1, 1<<21).Draw(t, "size")
				b.SetLimits(Limits{Bytes: size, Connections: 20})
				highest = max(highest, size)
			}
			sum := int64(0)
			for _, n := range taken {
				sum += n
			}
			require.Equal(t, sum, b.Used())
			require.LessOrEqual(t, sum, highest)
			if float64(sum) <= ceilings[Body]*float64(b.limits.Bytes) {
				highest = b.limits.Bytes
				require.Zero(t, b.inWork)
			}
		}
	})
}
