package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

func entry(id core.TargetID, revision uint64) core.Registration {
	return core.Registration{Target: id, Pool: "p", Revision: revision}
}

func TestEntriesComeAndGo(t *testing.T) {
	r := New()
	r.Replace([]core.Registration{entry("a", 1), entry("b", 2)}, 0)
	require.Len(t, r.Entries(), 2)

	leaving := entry("a", 5)
	leaving.Leaving = true
	require.True(t, r.Put(leaving, time.Second))
	require.False(t, r.Put(entry("a", 4), 2*time.Second), "an older state came later")
	require.True(t, r.Entries()["a"].Leaving)

	r.Remove("b", time.Second)
	require.NotContains(t, r.Entries(), core.TargetID("b"))
}

func TestAbsenceAfterAnOutage(t *testing.T) {
	const back = 10 * time.Second
	for name, c := range map[string]struct {
		leaving   bool
		entryBack time.Duration // when the entry is there again; zero means never
		at        time.Duration
		want      bool
	}{
		"kept at first":                 {at: back + time.Second, want: true},
		"gone when the period is over":  {at: back + returnPeriod, want: false},
		"back in time":                  {entryBack: back + time.Second, at: back + returnPeriod, want: true},
		"was leaving before the outage": {leaving: true, at: back, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			e := entry("a", 1)
			e.Leaving = c.leaving
			r.Replace([]core.Registration{e}, 0)
			r.HandleStoreLost()
			r.HandleStoreRegained(back)
			r.Replace(nil, back)
			if c.entryBack > 0 {
				r.Put(entry("a", 9), c.entryBack)
			}
			r.Expire(c.at)
			_, got := r.Entries()["a"]
			require.Equal(t, c.want, got)
		})
	}
}
