package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhenAFaultShows(t *testing.T) {
	cases := map[string]struct {
		order Spec
		shown []bool // at each second from the first on
	}{
		"always":       {Spec{}, []bool{true, true, true, true}},
		"twice":        {Spec{Count: 2}, []bool{true, true, false, false}},
		"for a time":   {Spec{DurationMS: 2_000}, []bool{true, true, false, false}},
		"every second": {Spec{Every: 2}, []bool{false, true, false, true}},
		"once later":   {Spec{Every: 2, Count: 1}, []bool{false, true, false, false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			set := NewSet()
			c.order.Kind = "slow"
			set.Apply(c.order, now)
			for second, want := range c.shown {
				_, shown := set.Trigger("slow", now.Add(time.Duration(second)*time.Second))
				require.Equal(t, want, shown, "second %d", second)
			}
			set.Apply(Spec{Kind: Clear}, now)
			_, shown := set.Trigger("slow", now)
			require.False(t, shown)
		})
	}
}
