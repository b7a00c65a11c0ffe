package placement

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// playSlowed plays engines of which a quarter is fast, and which are all slowed for moments. Only at the others does a
// prompt that is read in meanwhile make pauses late.
func playSlowed(paced bool) modelResult {
	sum := modelResult{}
	for _, rate := range []float64{10, 14, 18} {
		for seed := range uint64(3) {
			m := newModel(seed+21, 1.75, 0.82, 0.82, 0.82, 1.75, 0.82, 0.82, 0.82, 1.75, 0.82, 0.82, 0.82, 1.75, 0.82, 0.82, 0.82)
			m.slowed, m.short, m.chunks, m.jitter, m.local, m.from = true, 0.5, true, 1, 0.4, 10*time.Second
			m.choose, m.paced = byBalancer, paced
			r := m.run(rate, 60*time.Second)
			sum.Streams, sum.LateFirst, sum.LatePause, sum.Refused = sum.Streams+r.Streams, sum.LateFirst+r.LateFirst, sum.LatePause+r.LatePause, sum.Refused+r.Refused
			sum.Preemptions += r.Preemptions
		}
	}
	return sum
}

// Prompts that are read in while a slow engine is slowed for a moment make the streams that run there late. They must
// go where they harm fewer, without later first events.
func TestPromptsAvoidStreamsThatTheyMakeLate(t *testing.T) {
	paced, plain := playSlowed(true), playSlowed(false)
	t.Logf("with pace %+v, as it was %+v", paced, plain)
	require.Less(t, paced.LatePause, plain.LatePause/2)
	require.LessOrEqual(t, paced.LateFirst+paced.Refused, plain.LateFirst+plain.Refused+paced.Streams/400)
}
