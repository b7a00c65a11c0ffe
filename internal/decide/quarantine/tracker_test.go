package quarantine

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const (
	shared = core.PromptPart(1) // of most requests
	other  = core.PromptPart(2) // of some
	deadly = core.PromptPart(3)
	start  = time.Hour
)

// at returns a time after the start of a test.
func at(s float64) time.Duration { return start + time.Duration(s*float64(time.Second)) }

// crashOf returns the crash of an engine that has no other one.
func crashOf(id uint64) core.EngineCrash { return core.EngineCrash{ID: id, Engine: 1000 + id} }

// ambiguousCrashOf returns the same crash, of which other requests may be the cause.
func ambiguousCrashOf(id uint64) core.EngineCrash {
	return core.EngineCrash{ID: id, Engine: 1000 + id, Ambiguous: true}
}

// heldParts returns the parts of all holds.
func heldParts(t *Tracker, now time.Duration) []core.PromptPart {
	var parts []core.PromptPart
	for _, hold := range t.Holds(now) {
		parts = append(parts, hold.Parts...)
	}
	return parts
}

// refused reports whether a request with the parts is held back.
func refused(t *Tracker, now time.Duration, parts ...core.PromptPart) bool {
	return slices.ContainsFunc(t.Holds(now), func(hold Hold) bool { return hold.Covers(parts) })
}

func TestHeldParts(t *testing.T) {
	for name, c := range map[string]struct {
		prepare func(*Tracker)
		now     float64
		want    []core.PromptPart
	}{
		"no crash": {func(q *Tracker) { q.RecordSound([]core.PromptPart{shared}, 1, at(0)) }, 1, nil},
		"one crash": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(1), at(0))
		}, 1, nil},
		"second crash of a new part": {func(q *Tracker) {
			q.RecordSound([]core.PromptPart{shared}, 9, at(0))
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(2), at(2))
		}, 3, []core.PromptPart{deadly}},
		"the same crash twice": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(1), at(2))
		}, 3, nil},
		"new parts that cannot be told apart": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(2), at(2))
		}, 3, []core.PromptPart{shared, deadly}},
		"new parts told apart by a sound request": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(2), at(2))
			q.RecordSound([]core.PromptPart{shared}, 9, at(2.1))
		}, 3, []core.PromptPart{deadly}},
		"new parts told apart by a crash": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{other, deadly}, crashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{other, deadly}, crashOf(2), at(2))
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(3), at(2.1))
		}, 3, []core.PromptPart{deadly}},
		"first part is the cause": {func(q *Tracker) {
			for id := range uint64(2) {
				q.RecordCrash([]core.PromptPart{deadly, core.PromptPart(100 + id)}, crashOf(id), at(float64(id)))
			}
		}, 2, []core.PromptPart{deadly}},
		"sound in between": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{shared}, crashOf(1), at(1))
			q.RecordSound([]core.PromptPart{shared}, 9, at(1.5))
			q.RecordCrash([]core.PromptPart{shared}, crashOf(2), at(2))
		}, 3, nil},
		"sound clears a held part": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{shared}, crashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{shared}, crashOf(2), at(2))
			q.RecordSound([]core.PromptPart{shared}, 9, at(2.1))
		}, 3, nil},
		"known part, three in a row": {func(q *Tracker) {
			q.RecordSound([]core.PromptPart{shared}, 9, at(0))
			for id := range uint64(3) {
				q.RecordCrash([]core.PromptPart{shared}, crashOf(id), at(1+float64(id)))
			}
		}, 4, nil},
		"known part, four in a row": {func(q *Tracker) {
			q.RecordSound([]core.PromptPart{deadly}, 9, at(0))
			for id := range uint64(4) {
				q.RecordCrash([]core.PromptPart{deadly}, crashOf(id), at(1+float64(id)))
			}
		}, 5, []core.PromptPart{deadly}},
		"many engines end at once": {func(q *Tracker) {
			q.RecordSound([]core.PromptPart{shared}, 9, at(0))
			for id := range uint64(9) {
				q.RecordCrash([]core.PromptPart{shared}, crashOf(id), at(1+float64(id)/100))
			}
		}, 2, nil},
		"one engine breaks off several requests": {func(q *Tracker) {
			for id := range uint64(4) {
				q.RecordCrash([]core.PromptPart{shared, core.PromptPart(100 + id)}, core.EngineCrash{ID: id, Engine: 7}, at(float64(id)/5))
			}
		}, 1, nil},
		"one engine crashes again after its restart": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{deadly}, core.EngineCrash{ID: 1, Engine: 7}, at(0))
			q.RecordCrash([]core.PromptPart{deadly}, core.EngineCrash{ID: 2, Engine: 7}, at(1.1))
		}, 2, []core.PromptPart{deadly}},
		"later crashes count for the held part": {func(q *Tracker) {
			q.RecordSound([]core.PromptPart{shared}, 9, at(0))
			for id := range uint64(6) {
				q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(id), at(1+float64(id)))
			}
		}, 7, []core.PromptPart{deadly}},
		"ambiguous crashes of a new part, two in a row": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{deadly}, ambiguousCrashOf(1), at(1))
			q.RecordCrash([]core.PromptPart{deadly}, ambiguousCrashOf(2), at(2))
		}, 3, nil},
		"ambiguous crashes of a new part, three in a row": {func(q *Tracker) {
			for id := range uint64(3) {
				q.RecordCrash([]core.PromptPart{deadly}, ambiguousCrashOf(id), at(1+float64(id)))
			}
		}, 4, []core.PromptPart{deadly}},
		"ambiguous crashes of a known part, five in a row": {func(q *Tracker) {
			q.RecordSound([]core.PromptPart{deadly}, 9, at(0))
			for id := range uint64(5) {
				q.RecordCrash([]core.PromptPart{deadly}, ambiguousCrashOf(id), at(1+float64(id)))
			}
		}, 6, []core.PromptPart{deadly}},
		"one clear crash beside ambiguous ones of the same engine": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{deadly}, core.EngineCrash{ID: 1, Engine: 7, Ambiguous: true}, at(0))
			q.RecordCrash([]core.PromptPart{deadly}, core.EngineCrash{ID: 2, Engine: 7}, at(0.1))
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(3), at(2))
		}, 3, []core.PromptPart{deadly}},
		"first hold is over": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(1), at(0))
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(2), at(0))
		}, 30.1, nil},
		"crash after the first hold": {func(q *Tracker) {
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(1), at(0))
			q.RecordCrash([]core.PromptPart{deadly}, crashOf(2), at(0))
			q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(3), at(40))
		}, 41, []core.PromptPart{deadly}},
		"five crashes": {func(q *Tracker) {
			for id := range uint64(5) {
				q.RecordCrash([]core.PromptPart{deadly}, crashOf(id), at(0))
			}
		}, 599, []core.PromptPart{deadly}},
	} {
		t.Run(name, func(t *testing.T) {
			q := NewTracker(0)
			c.prepare(q)
			require.Equal(t, c.want, heldParts(q, at(c.now)))
		})
	}
}

// Each host sees few of the crashes. Without those of the others each of them would let engines
// crash by itself.
func TestHostsShareEvidence(t *testing.T) {
	a, b, c := NewTracker(0), NewTracker(0), NewTracker(0)
	a.RecordSound([]core.PromptPart{shared}, 9, at(0))
	a.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(1), at(1))
	b.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(2), at(1))
	b.Merge(a.TakeChanges(at(1.1)), at(1.2))
	require.Equal(t, []core.PromptPart{deadly}, heldParts(b, at(1.2)))
	a.Merge(b.TakeChanges(at(1.2)), at(1.3))
	require.Equal(t, []core.PromptPart{deadly}, heldParts(a, at(1.3)))
	c.Merge(b.Evidence(at(1.3)), at(1.4))
	require.Equal(t, []core.PromptPart{deadly}, heldParts(c, at(1.4)), "a host that has just started")
	require.NotEmpty(t, c.TakeChanges(at(1.4)))
	c.Merge(a.Evidence(at(2)), at(2.1))
	require.Empty(t, c.TakeChanges(at(2.1)), "known evidence is passed on again and again")
}

// Evidence that hosts repeat to each other arrives some milliseconds old each time. It must neither
// last longer by that nor clear a part.
func TestRepeatedEvidenceDoesNotAge(t *testing.T) {
	a, b := NewTracker(0), NewTracker(0)
	for id := range uint64(2) {
		b.RecordSound([]core.PromptPart{deadly}, 20+id, at(0))
		a.RecordSound([]core.PromptPart{deadly}, 30+id, at(0))
	}
	for id := range uint64(4) {
		a.RecordCrash([]core.PromptPart{deadly}, crashOf(id), at(1+float64(id)))
	}
	for now := 4.5; now < 33.5; now += 0.1 {
		b.Merge(a.Evidence(at(now)), at(now+0.02))
		a.Merge(b.Evidence(at(now)), at(now+0.02))
		require.Equal(t, []core.PromptPart{deadly}, heldParts(a, at(now+0.05)))
	}
	require.Empty(t, heldParts(a, at(34.1)))
	require.Empty(t, heldParts(b, at(34.1)))
	for now := 35.0; now < 1300; now++ {
		b.Merge(a.Evidence(at(now)), at(now+0.02))
		a.Merge(b.Evidence(at(now)), at(now+0.02))
		a.Expire(at(now))
		b.Expire(at(now))
	}
	require.Empty(t, a.Evidence(at(1300)))
	require.Empty(t, b.Evidence(at(1300)))
}

// As long as two parts cannot be told apart, a sound request that shares one of them must be served.
func TestSoundRequestsAreServedWhileTheCauseIsNotClear(t *testing.T) {
	q := NewTracker(0)
	q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(1), at(1))
	q.RecordCrash([]core.PromptPart{shared, deadly}, crashOf(2), at(2))
	require.True(t, refused(q, at(2), shared, deadly))
	require.True(t, refused(q, at(2), shared, other, deadly))
	require.False(t, refused(q, at(2), shared))
	require.False(t, refused(q, at(2), shared, other))
	require.False(t, refused(q, at(2)))
}

// Hosts whose holds end at the same moment would all let a request pass, and each of them crashes an
// engine.
func TestHoldsEndOneAfterTheOther(t *testing.T) {
	var until []time.Duration
	for _, spread := range []float64{0, 0.5, 0.99} {
		q := NewTracker(spread)
		q.RecordCrash([]core.PromptPart{deadly}, crashOf(1), at(0))
		q.RecordCrash([]core.PromptPart{deadly}, crashOf(2), at(0))
		until = append(until, q.Holds(at(1))[0].Until-start)
	}
	require.Equal(t, []time.Duration{30 * time.Second, 45 * time.Second, 59700 * time.Millisecond}, until)
}

func TestTrackerIsBounded(t *testing.T) {
	q := NewTracker(0)
	for id := range uint64(20_000) {
		q.RecordSound([]core.PromptPart{core.PromptPart(id)}, id, at(float64(id)/1000))
		q.RecordCrash([]core.PromptPart{core.PromptPart(id + 1_000_000), deadly}, crashOf(id), at(float64(id)/1000))
	}
	require.LessOrEqual(t, len(q.suspects), maxSuspects)
	require.LessOrEqual(t, len(q.recent)+len(q.former), 2*maxSounds)
	require.LessOrEqual(t, len(q.suspects[deadly].crashes), maxCrashes)
	require.True(t, refused(q, at(20), deadly))
}

// Several hosts serve requests of which some hold a deadly part. Only that part may be held, and soon:
// in each window of a few crashes that all hosts have heard of.
func TestOnlyTheDeadlyPartIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := make([]*Tracker, rapid.IntRange(1, 5).Draw(t, "hosts"))
		for i := range hosts {
			hosts[i] = NewTracker(0)
		}
		position := rapid.IntRange(0, 2).Draw(t, "position")
		share := rapid.IntRange(1, 8).Draw(t, "share")
		crashes, now := 0, at(0)
		for id := range uint64(rapid.IntRange(1, 150).Draw(t, "requests")) {
			now += time.Duration(rapid.IntRange(20, 800).Draw(t, "pause")) * time.Millisecond
			host := hosts[rapid.IntRange(0, len(hosts)-1).Draw(t, "host")]
			parts := []core.PromptPart{shared, other + core.PromptPart(10+rapid.IntRange(0, 3).Draw(t, "second"))}
			crashing := rapid.IntRange(0, 9).Draw(t, "kind") < share
			if crashing {
				parts = append(parts[:position:position], append([]core.PromptPart{deadly}, parts[position:]...)...)
			}
			heldBack := refused(host, now, parts...)
			switch {
			case heldBack && !crashing:
				t.Fatalf("a sound request is refused after %d crashes: %v of %v", crashes, parts, host.Holds(now))
			case heldBack:
			case crashing:
				crashes++
				host.RecordCrash(parts, crashOf(id), now)
			default:
				host.RecordSound(parts, id, now)
			}
			for _, from := range hosts {
				for _, to := range hosts {
					to.Merge(from.Evidence(now), now+time.Millisecond)
				}
			}
		}
		// Two that are needed, one for each of the parts that the deadly one occurs with, and one after
		// each end of a hold.
		if limit := 2 + 5 + int((now-start)/firstHold); crashes > limit {
			t.Fatalf("%d crashes in %v, want %d at most", crashes, now-start, limit)
		}
	})
}

// A crash without a response counts against all requests that wait at the engine, and two deadly parts end engines by turns.
// Both parts must be held soon, and the requests that share parts with the waiting ones must be served.
func TestPartsHeldDespiteRequestsThatWaitBesideThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const second = core.PromptPart(4)
		q, now, crashes := NewTracker(0), at(0), map[core.PromptPart]int{}
		for id := uint64(0); id < 60; id++ {
			now += time.Duration(rapid.IntRange(100, 900).Draw(t, "pause")) * time.Millisecond
			waiting := [][]core.PromptPart{{shared, core.PromptPart(10 + id%3)}, {shared, core.PromptPart(10 + (id+1)%3)}}
			part := rapid.SampledFrom([]core.PromptPart{deadly, second}).Draw(t, "part")
			if !refused(q, now, shared, part) {
				crashes[part]++
				for i, parts := range append(waiting, []core.PromptPart{shared, part}) {
					q.RecordCrash(parts, core.EngineCrash{ID: 10*id + uint64(i), Engine: 1000 + id, Ambiguous: true}, now)
				}
			}
			for _, other := range []core.PromptPart{10, 11, 12} { // the requests that waited come back and are served
				if refused(q, now, shared, other) {
					t.Fatalf("a sound request is refused: %v", q.Holds(now))
				}
				q.RecordSound([]core.PromptPart{shared, other}, 1000+id, now+50*time.Millisecond)
			}
		}
		for part, count := range crashes {
			if limit := newPartCrashes + ambiguousCrashes + 1 + int((now-start)/firstHold); count > limit {
				t.Fatalf("%d crashes under part %d in %v, want %d at most", count, part, now-start, limit)
			}
		}
	})
}
