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

// upTo returns a position in the first era.
func upTo(revision uint64) core.StorePosition { return core.StorePosition{Revision: revision} }

func TestPutAndRemove(t *testing.T) {
	r := New()
	r.Replace([]core.Registration{entry("a", 1), entry("b", 2)}, upTo(2), 0)
	require.Len(t, r.Entries(), 2)

	leaving := entry("a", 5)
	leaving.Leaving = true
	require.True(t, r.Put(leaving, time.Second))
	require.False(t, r.Put(entry("a", 4), 2*time.Second), "an older state must not replace a newer one")
	require.True(t, r.Entries()["a"].Leaving)

	r.Remove(core.Removal{Target: "b", Revision: 6}, time.Second)
	require.NotContains(t, r.Entries(), core.TargetID("b"))
}

// A single failed call must not count as an outage: a hub in its grace period proves nothing, so
// that all its subscribers leave it.
func TestShortOutageHasNoGracePeriod(t *testing.T) {
	r := New()
	r.Replace([]core.Registration{entry("a", 1)}, upTo(1), 10*time.Second)
	r.HandleStoreLost(10 * time.Second)
	require.True(t, r.InGracePeriod(11*time.Second))
	r.HandleStoreRegained(10*time.Second + minOutage - 1)
	require.False(t, r.InGracePeriod(10*time.Second+minOutage))
	r.Replace(nil, upTo(2), 10*time.Second+minOutage)
	require.Empty(t, r.Entries())
}

func TestMissingEntryAfterOutage(t *testing.T) {
	const availableAt = 10 * time.Second
	for name, c := range map[string]struct {
		leaving bool
		putAt   time.Duration // when the target registers again; zero means never
		at      time.Duration
		want    bool
	}{
		"kept during the grace period":   {at: availableAt + time.Second, want: true},
		"removed after the grace period": {at: availableAt + gracePeriod, want: false},
		"registered again in time":       {putAt: availableAt + time.Second, at: availableAt + gracePeriod, want: true},
		"was leaving before the outage":  {leaving: true, at: availableAt, want: false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			e := entry("a", 1)
			e.Leaving = c.leaving
			r.Replace([]core.Registration{e}, upTo(1), 0)
			r.HandleStoreLost(availableAt - minOutage)
			r.HandleStoreRegained(availableAt)
			r.Replace(nil, upTo(2), availableAt)
			if c.putAt > 0 {
				r.Put(entry("a", 9), c.putAt)
			}
			r.Expire(c.at)
			_, got := r.Entries()["a"]
			require.Equal(t, c.want, got)
		})
	}
}

// A hub that was paused, or a store that answers with an older state, still lists a removed target
// as ready. The host would send to it again.
func TestRemovedEntryIsNotRestoredByOlderState(t *testing.T) {
	for name, apply := range map[string]func(*Registry){
		"entry":               func(r *Registry) { r.Put(entry("b", 6), 0) },
		"registry of a hub":   func(r *Registry) { r.ReplaceNow([]core.Registration{entry("a", 1), entry("b", 6)}, upTo(7), 0) },
		"full read":           func(r *Registry) { r.Replace([]core.Registration{entry("a", 1), entry("b", 6)}, upTo(7), 0) },
		"removal and put":     func(r *Registry) { r.RemoveNow(core.Removal{Target: "b", Revision: 5}, 0); r.Put(entry("b", 6), 0) },
		"hub without the new": func(r *Registry) { r.ReplaceNow([]core.Registration{entry("a", 1)}, upTo(7), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Replace([]core.Registration{entry("a", 1), entry("b", 2)}, upTo(2), 0)
			r.RemoveNow(core.Removal{Target: "b", Revision: 8}, 0)
			r.Put(entry("c", 9), 0)
			r.Advance(upTo(9))
			apply(r)
			require.NotContains(t, r.Entries(), core.TargetID("b"))
			require.Contains(t, r.Entries(), core.TargetID("c"))

			r.Put(entry("b", 10), 0)
			require.Contains(t, r.Entries(), core.TargetID("b"), "registered again")
		})
	}
}

// A hub drops a target whose entry is still missing after the grace period, which is no write to the store. A host
// that is up to date already would keep the target, and send to it.
func TestRemovalByAHubWithoutAWriteToTheStore(t *testing.T) {
	for name, remove := range map[string]func(*Registry){
		"removal":       func(r *Registry) { r.RemoveNow(core.Removal{Target: "b", Revision: 9}, 0) },
		"whole list":    func(r *Registry) { r.ReplaceNow([]core.Registration{entry("a", 1)}, upTo(9), 0) },
		"removal again": func(r *Registry) { r.RemoveNow(core.Removal{Target: "b", Revision: 9}, 0); r.Put(entry("b", 2), 0) },
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Replace([]core.Registration{entry("a", 1), entry("b", 2)}, upTo(2), 0)
			r.Advance(upTo(9))
			remove(r)
			require.NotContains(t, r.Entries(), core.TargetID("b"))
			require.Contains(t, r.Entries(), core.TargetID("a"))
		})
	}
}

// The changes of a target that left and registered again under its id may arrive in one read, the
// removal last.
func TestOlderRemovalKeepsANewerEntry(t *testing.T) {
	r := New()
	r.Replace([]core.Registration{entry("a", 1)}, upTo(1), 0)
	r.Put(entry("a", 5), 0)
	r.Remove(core.Removal{Target: "a", Revision: 4}, 0)
	r.RemoveNow(core.Removal{Target: "a", Revision: 4}, 0)
	require.Contains(t, r.Entries(), core.TargetID("a"))
}
