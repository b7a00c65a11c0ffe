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

// TestResumedSequence guards against events that a caller gets twice or with a gap where it resumes a stream with an
// id, and against sound streams that count as having a gap there.
func TestResumedSequence(t *testing.T) {
	const rerun = -1 // another engine goes on
	for name, c := range map[string]struct {
		step          int64 // of other streams
		after         int64
		ids           []int64 // that the engine sends
		sent          []int64 // that are passed on
		skips, behind bool    // after the ids
	}{
		"goes on":                             {1, 4, []int64{5, 6}, []int64{5, 6}, false, false},
		"sends all again":                     {1, 4, []int64{0, 1, 2, 3, 4, 5}, []int64{5}, false, false},
		"leaves one out":                      {1, 4, []int64{6}, nil, true, false},
		"leaves one out, step unknown":        {0, 4, []int64{6}, []int64{6}, false, false},
		"steps of four":                       {4, 8, []int64{12}, []int64{12}, false, false},
		"leaves one out, steps of four":       {4, 8, []int64{16}, nil, true, false},
		"all again with uneven steps":         {1, 4, []int64{0, 4, 9}, []int64{9}, false, false},
		"ends before the caller's last event": {1, 4, []int64{0, 1, 2}, nil, false, true},
		"ends with the caller's last event":   {1, 4, []int64{3, 4}, nil, false, false},
		"before the first":                    {1, -7, []int64{0, 1}, []int64{0, 1}, false, false},
		"id between two ids":                  {4, 6, []int64{0, 4}, nil, false, true},
		"sends nothing":                       {1, 4, nil, nil, false, false},
		"next run goes on":                    {1, 4, []int64{5, rerun, 6}, []int64{5, 6}, false, false},
		"next run sends all again":            {1, 4, []int64{5, rerun, 0, 1, 2, 3, 4, 5, 6}, []int64{5, 6}, false, false},
		"next run goes on, uneven steps":      {4, 4, []int64{5, 6, rerun, 10}, []int64{5, 6, 10}, false, false},
		"next run leaves one out":             {1, 4, []int64{5, rerun, 7}, []int64{5}, true, false},
		"next run ends early":                 {1, 4, []int64{5, rerun, 0, 1}, []int64{5}, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			var sequence eventSequence
			sequence.expectStep(c.step)
			sequence.startAfter(c.after)
			var sent []int64
			skips := false
			for _, id := range c.ids {
				switch {
				case id == rerun:
					sequence.resume()
				case sequence.repeats(id):
					sequence.recordRepeated(id)
				case sequence.skips(id):
					skips = true
				default:
					sequence.record(id)
					sent = append(sent, id)
				}
			}
			require.Equal(t, c.sent, sent)
			require.Equal(t, c.skips, skips)
			require.Equal(t, c.behind, sequence.behind())
		})
	}
}
