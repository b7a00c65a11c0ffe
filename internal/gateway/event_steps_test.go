package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestStepOfOneStreamIsForgotten guards against gaps that are never found again in a pool, because one faulty stream has
// left many events out.
func TestStepOfOneStreamIsForgotten(t *testing.T) {
	var steps eventSteps
	require.Zero(t, steps.largest("pool"))
	steps.record("pool", 4)
	require.EqualValues(t, 4, steps.largest("pool"))
	steps.record("pool", 1_000_000)
	require.EqualValues(t, 1_000_000, steps.largest("pool"))
	require.Zero(t, steps.largest("other"))
	for range 2 * stepStreams {
		require.GreaterOrEqual(t, steps.largest("pool"), int64(4))
		steps.record("pool", 4)
		steps.record("pool", 0) // a stream that has shown no step
	}
	require.EqualValues(t, 4, steps.largest("pool"))
}

// TestLargestStepIsKeptForItsStreams guards against sound streams of uneven steps that count as having a gap, because
// the largest step was forgotten too soon.
func TestLargestStepIsKeptForItsStreams(t *testing.T) {
	for before := range stepStreams {
		var steps eventSteps
		for range before {
			steps.record("pool", 1)
		}
		steps.record("pool", 7)
		for range stepStreams {
			require.EqualValues(t, 7, steps.largest("pool"))
			steps.record("pool", 1)
		}
	}
}
