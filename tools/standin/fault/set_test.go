package fault

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestWhenAFaultShows(t *testing.T) {
	cases := map[string]struct {
		spec      Spec
		triggered []bool // per second
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
			c.spec.Kind = "slow"
			set.Apply(c.spec, now)
			for second, want := range c.triggered {
				_, triggered := set.Trigger("slow", now.Add(time.Duration(second)*time.Second))
				require.Equal(t, want, triggered, "second %d", second)
			}
			set.Apply(Spec{Kind: Clear}, now)
			_, triggered := set.Trigger("slow", now)
			require.False(t, triggered)
		})
	}
}
