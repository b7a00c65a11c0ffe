package rerun

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// link is one connection of the simulated world.
type link struct {
	id         ConnectionID
	generation core.GenerationID
	at         core.Sequence // last token sent on it
}

// world simulates targets and connections around one State.
type world struct {
	t         *rapid.T
	state     State
	length    core.Sequence
	diverge   map[core.GenerationID]core.Sequence // first token that differs; zero: none
	short     map[core.GenerationID]bool          // the text ends before the token that differs
	live      []link
	stale     []link // replaced connections, which may still bring frames
	got       []uint64
	from      core.GenerationID // generation delivered last
	reason    EndReason
	rerunning []ConnectionID
	divergent bool // reruns may differ
	effects   int  // effects of the latest step
	reruns    int
	created   byte
}

func (w *world) digest(g core.GenerationID, n core.Sequence) uint64 {
	if from := w.diverge[g]; from != 0 && n >= from {
		return uint64(n)*1000 + uint64(g[0])
	}
	return uint64(n) * 1000
}

// lengthOf returns the number of tokens that a generation gives.
func (w *world) lengthOf(g core.GenerationID) core.Sequence {
	if w.short[g] {
		return w.diverge[g] - 1
	}
	return w.length
}

func (w *world) newGeneration() core.GenerationID {
	w.created++
	g := core.GenerationID{w.created}
	if w.divergent && rapid.IntRange(0, 3).Draw(w.t, "diverges") == 0 {
		w.diverge[g] = core.Sequence(rapid.IntRange(1, int(w.length)).Draw(w.t, "from"))
		w.short[g] = w.diverge[g] > 1 && rapid.Bool().Draw(w.t, "short")
	}
	return g
}

func (w *world) step(e Event) {
	var effects []Effect
	ended := w.state.Ended()
	w.state, effects = w.state.Step(e, time.Time{}, nil)
	require.False(w.t, ended && len(effects) > 0, "effects after the end")
	w.effects = len(effects)
	for _, effect := range effects {
		w.apply(e, effect)
	}
}

func (w *world) apply(e Event, effect Effect) {
	switch effect.Kind {
	case EffectDeliver:
		require.Equal(w.t, core.Sequence(len(w.got)+1), e.Sequence, "order")
		w.got, w.from = append(w.got, e.Digest), e.Generation
		for i, digest := range w.got {
			require.Equal(w.t, w.digest(e.Generation, core.Sequence(i+1)), digest, "single generation's text")
		}
	case EffectResume:
		w.drop(func(l link) bool {
			if l.generation == effect.Generation {
				require.Equal(w.t, l.at, effect.After, "resumed after the last token seen")
			}
			return l.generation == effect.Generation
		})
		w.live = append(w.live, link{id: effect.Connection, generation: effect.Generation, at: effect.After})
	case EffectRerun:
		w.reruns++
		require.LessOrEqual(w.t, w.reruns, DefaultLimits().MaxReruns)
		w.rerunning = append(w.rerunning, effect.Connection)
	case EffectStop:
		w.rerunning = slices.DeleteFunc(w.rerunning, func(id ConnectionID) bool { return id == effect.Connection })
		w.drop(func(l link) bool { return l.id == effect.Connection })
	case EffectEnd:
		w.reason = effect.Reason
	}
}

// whole reports whether the caller has every token of the text that was delivered last.
func (w *world) whole() bool { return len(w.got) == int(w.lengthOf(w.from)) }

func (w *world) drop(match func(link) bool) {
	kept := []link{}
	for _, l := range w.live {
		if match(l) {
			w.stale = append(w.stale, l)
			continue
		}
		kept = append(kept, l)
	}
	w.live = kept
}

func (w *world) frame(l link, n core.Sequence) {
	w.step(Event{Kind: EventFrame, Connection: l.id, Generation: l.generation, Sequence: n, Digest: w.digest(l.generation, n), Final: n == w.lengthOf(l.generation)})
}

func (w *world) start(id ConnectionID) {
	l := link{id: id, generation: w.newGeneration()}
	w.live = append(w.live, l)
	w.step(Event{Kind: EventStarted, Connection: id, Generation: l.generation})
}

// advance sends the next token of a connection, or breaks it after the last one.
func (w *world) advance(i int) {
	l := w.live[i]
	if l.at >= w.lengthOf(l.generation) {
		w.step(Event{Kind: EventDisconnected, Connection: l.id})
		return
	}
	w.live[i].at++
	w.frame(l, l.at+1)
}

func (w *world) startPending() bool {
	if len(w.rerunning) == 0 {
		return false
	}
	id := w.rerunning[0]
	w.rerunning = w.rerunning[1:]
	w.start(id)
	return true
}

// disturb lets one random thing happen.
func (w *world) disturb(action string) {
	if action == "start" && w.startPending() || len(w.live) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.live)-1).Draw(w.t, "link")
	l := w.live[i]
	n := core.Sequence(rapid.IntRange(1, int(w.length)).Draw(w.t, "n"))
	switch action {
	case "next":
		w.advance(i)
	case "any": // duplicate or gap
		if n = min(n, w.lengthOf(l.generation)); n == l.at+1 {
			w.advance(i)
			return
		}
		w.frame(l, n)
		require.True(w.t, n > l.at || w.effects == 0, "a duplicate has no effect")
	case "crossed":
		w.step(Event{Kind: EventFrame, Connection: l.id, Generation: core.GenerationID{0xFF}, Sequence: l.at + 1, Digest: 7})
	case "late":
		if len(w.stale) > 0 {
			old := w.stale[int(n)%len(w.stale)]
			w.frame(old, n)
			require.Zero(w.t, w.effects)
			w.step(Event{Kind: EventDisconnected, Connection: old.id})
			require.Zero(w.t, w.effects)
		}
	case "broken":
		w.step(Event{Kind: EventDisconnected, Connection: l.id})
	case "lost":
		w.drop(func(other link) bool { return other.id == l.id })
		w.step(Event{Kind: EventGenerationLost, Connection: l.id, MayHaveReached: true})
	case "reclaim":
		w.step(Event{Kind: EventReclaim, Generation: l.generation})
	case "stalled":
		w.step(Event{Kind: EventStalled})
	case "refused":
		if len(w.rerunning) > 0 {
			id := w.rerunning[0]
			w.rerunning = w.rerunning[1:]
			w.step(Event{Kind: EventRefused, Connection: id})
		}
	}
}

// finish lets everything go well from here and requires an end in a bounded number of steps.
func (w *world) finish() {
	for range 100 * int(w.length) {
		if w.state.Ended() {
			return
		}
		if !w.startPending() {
			require.NotEmpty(w.t, w.live, "nothing is left that could end the stream")
			w.advance(len(w.live) - 1)
		}
	}
	require.Fail(w.t, "the stream does not end")
}

func newWorld(t *rapid.T, limits Limits, divergent bool) *world {
	w := &world{t: t, diverge: map[core.GenerationID]core.Sequence{}, short: map[core.GenerationID]bool{}, divergent: divergent}
	w.length = core.Sequence(rapid.IntRange(1, 12).Draw(t, "length"))
	w.state = New(limits)
	w.start(1)
	return w
}
