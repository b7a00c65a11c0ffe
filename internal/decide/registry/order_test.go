package registry

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// history is the history of a registry in the store: the entry that each revision wrote.
type history []core.Registration // a registration without a pool is a removal

// at returns the entries as of a revision.
func (h history) at(revision int) []core.Registration {
	latest := map[core.TargetID]core.Registration{}
	for _, written := range h[:revision] {
		latest[written.Target] = written
	}
	var all []core.Registration
	for _, entry := range latest {
		if entry.Pool != "" {
			all = append(all, entry)
		}
	}
	return all
}

// A host gets the registry from its own reads and from several hubs, in any order, and some of
// them are behind. Whatever the order, no target may go back to an older state.
func TestRegistryNeverGoesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h history
		for revision := range rapid.IntRange(1, 30).Draw(t, "revisions") {
			written := core.Registration{Target: core.TargetID(fmt.Sprint(rapid.IntRange(0, 2).Draw(t, "target"))), Revision: uint64(revision + 1)}
			if rapid.Bool().Draw(t, "present") {
				written.Pool, written.Leaving = "p", rapid.Bool().Draw(t, "leaving")
			}
			h = append(h, written)
		}
		r := New()
		for range rapid.IntRange(1, 8).Draw(t, "updates") {
			from, to := rapid.IntRange(0, len(h)).Draw(t, "from"), rapid.IntRange(0, len(h)).Draw(t, "to")
			switch rapid.IntRange(0, 2).Draw(t, "source") {
			case 0:
				r.Replace(h.at(to), upTo(uint64(to)), 0)
			case 1:
				r.ReplaceNow(h.at(to), upTo(uint64(to)), 0)
			default: // changes, which must begin where the registry is or before
				from = min(from, int(r.Position().Revision))
				for _, written := range h[from:max(from, to)] {
					if written.Pool != "" {
						r.Put(written, 0)
					} else {
						r.Remove(core.Removal{Target: written.Target, Revision: written.Revision}, 0)
					}
				}
				r.Advance(upTo(uint64(max(from, to))))
			}
			want := map[core.TargetID]core.Registration{}
			for _, entry := range h.at(int(r.Position().Revision)) {
				want[entry.Target] = entry
			}
			got := r.Entries()
			if len(got) != len(want) {
				t.Fatalf("%d entries, want %d, as of revision %d", len(got), len(want), r.Position().Revision)
			}
			for id, entry := range got {
				if entry.Registration != want[id] {
					t.Fatalf("%s is %+v, want %+v", id, entry.Registration, want[id])
				}
			}
		}
	})
}
