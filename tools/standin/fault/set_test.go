package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhenAFaultShows(t *testing.T) {
	cases := map[string]struct {
		order Order
		shown []bool // at each second from the first on
	}{
		"always":       {Order{}, []bool{true, true, true, true}},
		"twice":        {Order{Count: 2}, []bool{true, true, false, false}},
		"for a time":   {Order{ForMS: 2_000}, []bool{true, true, false, false}},
		"every second": {Order{Every: 2}, []bool{false, true, false, true}},
		"once later":   {Order{Every: 2, Count: 1}, []bool{false, true, false, false}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(0, 0)
			set := NewSet()
			c.order.Kind = "slow"
			set.Add(c.order, now)
			for second, want := range c.shown {
				_, shown := set.Take("slow", now.Add(time.Duration(second)*time.Second))
				require.Equal(t, want, shown, "second %d", second)
			}
			set.Add(Order{Kind: Clear}, now)
			_, shown := set.Take("slow", now)
			require.False(t, shown)
		})
	}
}
