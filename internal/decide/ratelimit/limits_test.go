package ratelimit

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

const target = core.TargetID("t")

func at(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// A limit that is taken for another one than the target means floods the target or starves its callers.
func TestRateFollowsWhatTheTargetSays(t *testing.T) {
	type step struct {
		at     float64
		named  float64 // negative: the response names no limit
		notRun bool
		sentAt float64
	}
	for name, c := range map[string]struct {
		steps   []step
		askedAt float64
		want    float64 // zero: no limit
	}{
		"never named":                     {nil, 1, 0},
		"named":                           {[]step{{1, 5, false, 0.9}}, 2, 5},
		"holds without further responses": {[]step{{1, 5, false, 0.9}}, 500, 5},
		"lowered":                         {[]step{{1, 5, false, 0.9}, {2, 2, false, 1.9}}, 3, 2},
		"raised":                          {[]step{{1, 5, false, 0.9}, {2, 9, false, 1.9}}, 3, 9},
		"an overtaken response":           {[]step{{2, 2, false, 1.9}, {2.1, 5, false, 0.9}}, 3, 2},
		"zero leaves a little":            {[]step{{1, 0, false, 0.9}}, 2, minRate},
		"beyond any target":               {[]step{{1, math.MaxFloat64, false, 0.9}}, 2, maxRate},
		"ended":                           {[]step{{1, 5, false, 0.9}, {2, -1, false, 1.9}}, 10, 0},
		"ended by an older response":      {[]step{{1, 5, false, 0.9}, {2, -1, false, 0.8}}, 10, 5},
		"rises while it ends":             {[]step{{1, 5, false, 0.9}, {2, -1, false, 1.9}}, 4, 20},
		"named again while it ends":       {[]step{{1, 5, false, 0.9}, {2, -1, false, 1.9}, {3, 4, false, 2.9}}, 4, 4},
		"named by rejections only":        {[]step{{1, 5, true, 0.9}, {2, -1, false, 1.9}}, 10, 5},
		"no rejection names it any more":  {[]step{{1, 5, true, 0.9}, {2, -1, true, 1.9}}, 10, 0},
		"no rejection for a while":        {[]step{{1, 5, true, 0.9}, {9, -1, false, 8.9}}, 20, 0},
	} {
		t.Run(name, func(t *testing.T) {
			limits := NewLimits()
			for _, s := range c.steps {
				if s.named < 0 {
					limits.RecordUnnamed(target, s.notRun, at(s.sentAt), at(s.at))
				} else {
					limits.RecordNamed(target, s.named, s.notRun, at(s.sentAt))
				}
			}
			got, limited := limits.Rate(target, at(c.askedAt))
			require.Equal(t, c.want > 0, limited)
			if limited {
				require.InDelta(t, c.want, got, 1e-9)
			}
		})
	}
}

// Two hosts that tell each other the same limit must not go on for ever, and the newer state must win.
func TestHostsAgreeOnALimitAndFallSilent(t *testing.T) {
	a, b := NewLimits(), NewLimits()
	a.RecordNamed(target, 5, false, at(1))
	exchange := func(now float64) int {
		messages := 0
		for range 10 {
			fromA, fromB := a.TakeChanges(at(now)), b.TakeChanges(at(now))
			if len(fromA)+len(fromB) == 0 {
				return messages
			}
			b.Merge(fromA, at(now+0.001))
			a.Merge(fromB, at(now+0.001))
			messages++
		}
		return messages
	}
	require.LessOrEqual(t, exchange(1.1), 3)
	rate, limited := b.Rate(target, at(1.2))
	require.True(t, limited)
	require.InDelta(t, 5, rate, 1e-9)
	b.RecordUnnamed(target, false, at(2), at(2.1))
	require.LessOrEqual(t, exchange(2.2), 3)
	_, limited = a.Rate(target, at(2.2)+releasePeriod)
	require.False(t, limited)
	a.RecordNamed(target, 3, false, at(9))
	require.LessOrEqual(t, exchange(9.1), 3)
	rate, _ = b.Rate(target, at(10))
	require.InDelta(t, 3, rate, 1e-9)
}

// A message of another host may hold anything.
func TestUnusableReportsAreIgnored(t *testing.T) {
	limits := NewLimits()
	limits.Merge([]core.TargetLimit{
		{Target: "a", Rate: math.NaN()}, {Target: "b", Rate: math.Inf(1)}, {Target: "c", Rate: -1}, {Target: "d", Rate: 1, Age: -1},
		{Target: "e", Rate: 1, Ended: true, EndedAge: -1},
	}, at(1))
	require.Empty(t, limits.Limited(at(1)))
}

// Limits of targets that are gone must not pile up.
func TestLimitsOfGoneTargetsAreDropped(t *testing.T) {
	limits := NewLimits()
	limits.RecordNamed("gone", 1, false, at(1))
	limits.RecordNamed("listed", 1, false, at(1))
	listed := func(id core.TargetID) bool { return id == "listed" }
	limits.Expire(listed, at(30))
	require.Len(t, limits.All(at(30)), 2)
	limits.Expire(listed, at(100))
	require.Len(t, limits.All(at(100)), 1)
}
