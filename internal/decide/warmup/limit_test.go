package warmup

import (
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestLimitNeverExceedsCompletions checks that the limit never exceeds the cold floor plus
// one stream for each completion since the last reset.
func TestLimitNeverExceedsCompletions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cold := rapid.IntRange(0, 10).Draw(t, "cold")
		warm := rapid.IntRange(0, 50).Draw(t, "warm")
		l := New(cold, warm)
		completions, frozen := 0, false
		for range rapid.IntRange(0, 100).Draw(t, "steps") {
			before := l.Streams()
			switch rapid.IntRange(0, 9).Draw(t, "step") {
			case 0:
				l.ResetToCold()
				completions = 0
			case 1:
				frozen = !frozen
				l.SetFrozen(frozen)
			default:
				running := rapid.IntRange(0, 60).Draw(t, "running")
				l.Grow(running)
				completions++
				require.True(t, l.Streams() == before || (!frozen && 2*running >= before))
			}
			require.LessOrEqual(t, l.Streams(), cold+completions)
			require.LessOrEqual(t, l.Streams(), max(cold, warm))
			require.GreaterOrEqual(t, l.Streams(), cold)
		}
	})
}

func TestNarrowerBoundsLowerTheLimit(t *testing.T) {
	l := New(2, 10)
	for range 20 {
		l.Grow(10)
	}
	require.Equal(t, 10, l.Streams())
	l.SetBounds(2, 5)
	require.Equal(t, 5, l.Streams())
}
