package registry

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// inEra returns a target's entry in an era of the store.
func inEra(era, revision uint64, born int64, leaving bool) core.Registration {
	return core.Registration{Target: "a", Pool: "p", Address: "x", DataCentre: "z", Slots: 1, Born: born, Leaving: leaving, Era: era, Revision: revision}
}

// An entry of a copy is older than what is known, although its revision counts as newer. Once the target
// has written it again it is news.
func TestEntryOfACopy(t *testing.T) {
	for name, c := range map[string]struct {
		known   *core.Registration // nil: removed
		removed int64              // born of the removed target
		copied  core.Registration
		usable  bool // right after the restoration
	}{
		"the same":                                 {known: ptr(inEra(1, 50, 5, false)), copied: inEra(2, 10, 5, false), usable: true},
		"leaves since":                             {known: ptr(inEra(1, 50, 5, true)), copied: inEra(2, 10, 5, false)},
		"leaves in the copy already":               {known: ptr(inEra(1, 50, 5, false)), copied: inEra(2, 10, 5, true)},
		"started again since":                      {known: ptr(inEra(1, 50, 6, false)), copied: inEra(2, 10, 5, true), usable: true},
		"started again in the meantime":            {known: ptr(inEra(1, 50, 5, true)), copied: inEra(2, 10, 6, false), usable: true},
		"gone since":                               {removed: 5, copied: inEra(2, 10, 5, false)},
		"gone, and another start of it":            {removed: 5, copied: inEra(2, 10, 6, false), usable: true},
		"leaves, and does not say when it started": {known: ptr(inEra(1, 50, 0, true)), copied: inEra(2, 10, 0, false)},
	} {
		t.Run(name, func(t *testing.T) {
			r := New()
			former := core.StorePosition{Era: 1, Revision: 60}
			if c.known != nil {
				r.Replace([]core.Registration{*c.known}, former, 0)
			} else {
				r.Replace([]core.Registration{inEra(1, 50, c.removed, false)}, core.StorePosition{Era: 1, Revision: 50}, 0)
				r.Replace(nil, former, 0)
			}
			first := core.StorePosition{Era: 2, Revision: 20}
			r.BeginEra(first, time.Second)
			r.Replace([]core.Registration{c.copied}, first, time.Second)
			entry, ok := r.Entries()["a"]
			require.Equal(t, c.usable, ok && !entry.Leaving)
			written := inEra(2, 21, 7, false)
			require.True(t, r.Put(written, 2*time.Second), "written again")
			require.Equal(t, written, r.Entries()["a"].Registration)
		})
	}
}

func ptr[T any](v T) *T { return &v }

// An entry whose target was removed before, and that stays in the restored store, is that of a live
// target. One that is removed again is not.
func TestWithheldEntryOfACopy(t *testing.T) {
	for name, removedAgain := range map[string]bool{"stays": false, "removed again": true} {
		t.Run(name, func(t *testing.T) {
			r := New()
			r.Replace([]core.Registration{inEra(1, 50, 5, false)}, core.StorePosition{Era: 1, Revision: 50}, 0)
			r.Replace(nil, core.StorePosition{Era: 1, Revision: 60}, 0)
			first := core.StorePosition{Era: 2, Revision: 20}
			r.BeginEra(first, time.Second)
			r.Replace([]core.Registration{inEra(2, 10, 5, false)}, first, time.Second)
			if removedAgain {
				r.Remove(core.Removal{Target: "a", Era: 2, Revision: 21}, 2*time.Second)
			}
			r.Expire(time.Second + copyHold - 1)
			require.Empty(t, r.Entries())
			r.Expire(time.Second + copyHold)
			require.Equal(t, !removedAgain, len(r.Entries()) == 1)
		})
	}
}

// An entry that the copy lacks is that of a target that registered since. It registers again.
func TestEntryThatTheCopyLacks(t *testing.T) {
	r := New()
	r.Replace([]core.Registration{inEra(1, 50, 5, false)}, core.StorePosition{Era: 1, Revision: 60}, 0)
	first := core.StorePosition{Era: 2, Revision: 20}
	r.BeginEra(first, time.Second)
	r.Replace(nil, first, time.Second)
	r.Expire(time.Second + gracePeriod - 1)
	require.Len(t, r.Entries(), 1, "kept for a while")
	r.Expire(time.Second + gracePeriod)
	require.Empty(t, r.Entries())
}

// Whatever the copy has, a target that is known to leave or to be gone must not get new work before it
// has written its entry in the new era, and a target that lives and writes must be back in the end.
func TestCopyNeverBringsBackWhatHasLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r, now := New(), time.Duration(0)
		position := core.StorePosition{Era: 1}
		left := map[int64]bool{} // starts of the target that are known to leave or to be gone
		history, born := []*core.Registration{nil}, int64(1)
		for range rapid.IntRange(1, 25).Draw(t, "writes") {
			now += time.Duration(rapid.IntRange(1, 1500).Draw(t, "pause")) * time.Millisecond
			position.Revision++
			entry := history[len(history)-1]
			switch rapid.IntRange(0, 4).Draw(t, "write") {
			case 0: // leaves
				if entry != nil {
					entry = ptr(inEra(position.Era, position.Revision, entry.Born, true))
				}
			case 1: // gone
				entry = nil
			case 2: // starts again
				born++
				entry = ptr(inEra(position.Era, position.Revision, born, false))
			case 3: // writes what it is
				if entry != nil {
					entry = ptr(inEra(position.Era, position.Revision, entry.Born, entry.Leaving))
				}
			default: // the store is restored from any state before
				position = core.StorePosition{Era: position.Era + 1, Revision: uint64(rapid.IntRange(0, len(history)-1).Draw(t, "copy"))}
				entry = history[position.Revision]
				if entry != nil {
					entry = ptr(inEra(position.Era, entry.Revision, entry.Born, entry.Leaving))
				}
				history = history[:position.Revision]
				r.BeginEra(position, now)
			}
			history = append(history, entry)
			// In the grace period an entry may have lapsed although its target lives.
			news := position.Era == 1 || position.Revision > r.copied.first.Revision
			if previous, ok := r.Entries()["a"]; ok && news && (entry == nil && !r.InGracePeriod(now) || entry != nil && entry.Leaving && entry.Born == previous.Born) {
				left[previous.Born] = true
			}
			var all []core.Registration
			if entry != nil {
				all = append(all, *entry)
			}
			r.Replace(all, position, now)
			for start := range left {
				known, ok := r.Entries()["a"]
				writtenNow := entry != nil && entry.Born == start && entry.Position() == position
				held := now < r.copied.restoredAt+copyHold
				if writtenNow && !entry.Leaving {
					delete(left, start)
				} else if ok && !known.Leaving && known.Born == start && left[start] && r.copied.covers(known.Position()) && held && known.MissingSince == present {
					t.Fatalf("target of start %d is back: %+v", start, known)
				}
			}
		}
	})
}
