package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestEventSequence guards against events that a caller gets twice, events left out where another engine goes on,
// and sound streams that count as having a gap.
func TestEventSequence(t *testing.T) {
	const resumes = -1 // another engine goes on
	for name, c := range map[string]struct {
		ids            []int64
		next           int64
		repeats, skips bool
	}{
		"first event":                    {nil, 7, false, false},
		"next event":                     {[]int64{1, 2}, 3, false, false},
		"same event":                     {[]int64{1, 2}, 2, true, false},
		"earlier event":                  {[]int64{1, 2}, 1, true, false},
		"larger step in one response":    {[]int64{1, 2}, 9, false, false},
		"next event elsewhere":           {[]int64{1, 2, resumes}, 3, false, false},
		"same event elsewhere":           {[]int64{1, 2, resumes}, 2, true, false},
		"gap elsewhere":                  {[]int64{1, 2, resumes}, 4, false, true},
		"gap after events elsewhere":     {[]int64{1, 2, resumes, 3}, 5, false, false},
		"second switch":                  {[]int64{1, 2, resumes, 3, resumes}, 5, false, true},
		"steps of four elsewhere":        {[]int64{0, 4, 8, resumes}, 12, false, false},
		"gap with steps of four":         {[]int64{0, 4, 8, resumes}, 16, false, true},
		"largest of uneven steps":        {[]int64{1, 2, 7, 8, resumes}, 13, false, false},
		"one event, steps of four":       {[]int64{4, resumes}, 8, false, false},
		"one event, gap":                 {[]int64{4, resumes}, 9, false, true},
		"one event with the id of zero":  {[]int64{0, resumes}, 1, false, false},
		"no event before another engine": {[]int64{resumes}, 5, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			var sequence eventSequence
			for _, id := range c.ids {
				if id == resumes {
					sequence.resume()
					continue
				}
				sequence.record(id)
			}
			require.Equal(t, c.repeats, sequence.repeats(c.next))
			require.Equal(t, c.skips, sequence.skips(c.next))
		})
	}
}
