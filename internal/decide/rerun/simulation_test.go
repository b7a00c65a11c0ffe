package rerun

import (
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// connection is one simulated connection.
type connection struct {
	id         ConnectionID
	generation core.GenerationID
	at         core.Sequence // last token sent on it
}

// simulation simulates targets and connections for one State.
type simulation struct {
	t              *rapid.T
	state          State
	length         core.Sequence
	divergesAt     map[core.GenerationID]core.Sequence // first token that differs; zero: none
	endsEarly      map[core.GenerationID]bool          // the text ends before the token that would differ
	connections    []connection
	replaced       []connection // replaced connections, on which frames may still arrive
	got            []uint64
	lastGeneration core.GenerationID // generation that was delivered last
	reason         EndReason
	rerunning      []ConnectionID
	mayDiverge     bool // reruns may differ
	effects        int  // effects of the latest step
	reruns         int
	created        byte
}

func (sim *simulation) digest(g core.GenerationID, n core.Sequence) uint64 {
	if from := sim.divergesAt[g]; from != 0 && n >= from {
		return uint64(n)*1000 + uint64(g[0])
	}
	return uint64(n) * 1000
}

// lengthOf returns the number of tokens of a generation.
func (sim *simulation) lengthOf(g core.GenerationID) core.Sequence {
	if sim.endsEarly[g] {
		return sim.divergesAt[g] - 1
	}
	return sim.length
}

func (sim *simulation) newGeneration() core.GenerationID {
	sim.created++
	g := core.GenerationID{sim.created}
	if sim.mayDiverge && rapid.IntRange(0, 3).Draw(sim.t, "diverges") == 0 {
		sim.divergesAt[g] = core.Sequence(rapid.IntRange(1, int(sim.length)).Draw(sim.t, "from"))
		sim.endsEarly[g] = sim.divergesAt[g] > 1 && rapid.Bool().Draw(sim.t, "short")
	}
	return g
}

func (sim *simulation) step(e Event) {
	var effects []Effect
	ended := sim.state.Ended()
	sim.state, effects = sim.state.Step(e, time.Time{}, nil)
	require.False(sim.t, ended && len(effects) > 0, "effects after the end")
	sim.effects = len(effects)
	for _, effect := range effects {
		sim.apply(e, effect)
	}
}

func (sim *simulation) apply(e Event, effect Effect) {
	switch effect.Kind {
	case EffectDeliver:
		require.Equal(sim.t, core.Sequence(len(sim.got)+1), e.Sequence, "order")
		sim.got, sim.lastGeneration = append(sim.got, e.Digest), e.Generation
		for i, digest := range sim.got {
			require.Equal(sim.t, sim.digest(e.Generation, core.Sequence(i+1)), digest, "single generation's text")
		}
	case EffectResume:
		sim.drop(func(c connection) bool {
			if c.generation == effect.Generation {
				require.Equal(sim.t, c.at, effect.After, "resumed after the last token seen")
			}
			return c.generation == effect.Generation
		})
		sim.connections = append(sim.connections, connection{id: effect.Connection, generation: effect.Generation, at: effect.After})
	case EffectRerun:
		sim.reruns++
		require.LessOrEqual(sim.t, sim.reruns, DefaultLimits().MaxReruns)
		sim.rerunning = append(sim.rerunning, effect.Connection)
	case EffectStop:
		sim.rerunning = slices.DeleteFunc(sim.rerunning, func(id ConnectionID) bool { return id == effect.Connection })
		sim.drop(func(c connection) bool { return c.id == effect.Connection })
	case EffectEnd:
		sim.reason = effect.Reason
	}
}

// complete reports whether the caller has every token of the generation delivered last.
func (sim *simulation) complete() bool { return len(sim.got) == int(sim.lengthOf(sim.lastGeneration)) }

func (sim *simulation) drop(match func(connection) bool) {
	kept := []connection{}
	for _, c := range sim.connections {
		if match(c) {
			sim.replaced = append(sim.replaced, c)
			continue
		}
		kept = append(kept, c)
	}
	sim.connections = kept
}

func (sim *simulation) frame(c connection, n core.Sequence) {
	sim.step(Event{Kind: EventFrame, Connection: c.id, Generation: c.generation, Sequence: n, Digest: sim.digest(c.generation, n), Final: n == sim.lengthOf(c.generation)})
}

func (sim *simulation) start(id ConnectionID) {
	c := connection{id: id, generation: sim.newGeneration()}
	sim.connections = append(sim.connections, c)
	sim.step(Event{Kind: EventStarted, Connection: id, Generation: c.generation})
}

// advance sends the next token of a connection, or breaks it after the last one.
func (sim *simulation) advance(i int) {
	c := sim.connections[i]
	if c.at >= sim.lengthOf(c.generation) {
		sim.step(Event{Kind: EventDisconnected, Connection: c.id})
		return
	}
	sim.connections[i].at++
	sim.frame(c, c.at+1)
}

func (sim *simulation) startPending() bool {
	if len(sim.rerunning) == 0 {
		return false
	}
	id := sim.rerunning[0]
	sim.rerunning = sim.rerunning[1:]
	sim.start(id)
	return true
}

// act performs one action on a random connection.
func (sim *simulation) act(action string) {
	if action == "start" && sim.startPending() || len(sim.connections) == 0 {
		return
	}
	i := rapid.IntRange(0, len(sim.connections)-1).Draw(sim.t, "link")
	c := sim.connections[i]
	n := core.Sequence(rapid.IntRange(1, int(sim.length)).Draw(sim.t, "n"))
	switch action {
	case "next":
		sim.advance(i)
	case "any": // duplicate or gap
		if n = min(n, sim.lengthOf(c.generation)); n == c.at+1 {
			sim.advance(i)
			return
		}
		sim.frame(c, n)
		require.True(sim.t, n > c.at || sim.effects == 0, "a duplicate has no effect")
	case "crossed":
		sim.step(Event{Kind: EventFrame, Connection: c.id, Generation: core.GenerationID{0xFF}, Sequence: c.at + 1, Digest: 7})
	case "late":
		if len(sim.replaced) > 0 {
			old := sim.replaced[int(n)%len(sim.replaced)]
			sim.frame(old, n)
			require.Zero(sim.t, sim.effects)
			sim.step(Event{Kind: EventDisconnected, Connection: old.id})
			require.Zero(sim.t, sim.effects)
		}
	case "broken":
		sim.step(Event{Kind: EventDisconnected, Connection: c.id})
	case "lost":
		sim.drop(func(other connection) bool { return other.id == c.id })
		sim.step(Event{Kind: EventGenerationLost, Connection: c.id, MayHaveReached: true})
	case "reclaim":
		sim.step(Event{Kind: EventReclaim, Generation: c.generation})
	case "stalled":
		sim.step(Event{Kind: EventStalled})
	case "refused":
		if len(sim.rerunning) > 0 {
			id := sim.rerunning[0]
			sim.rerunning = sim.rerunning[1:]
			sim.step(Event{Kind: EventRefused, Connection: id})
		}
	}
}

// finish injects no more faults and requires that the stream ends in a bounded number of steps.
func (sim *simulation) finish() {
	for range 100 * int(sim.length) {
		if sim.state.Ended() {
			return
		}
		if !sim.startPending() {
			require.NotEmpty(sim.t, sim.connections, "no connection is left that could end the stream")
			sim.advance(len(sim.connections) - 1)
		}
	}
	require.Fail(sim.t, "the stream does not end")
}

func newSimulation(t *rapid.T, limits Limits, mayDiverge bool) *simulation {
	sim := &simulation{t: t, divergesAt: map[core.GenerationID]core.Sequence{}, endsEarly: map[core.GenerationID]bool{}, mayDiverge: mayDiverge}
	sim.length = core.Sequence(rapid.IntRange(1, 12).Draw(t, "length"))
	sim.state = New(limits)
	sim.start(1)
	return sim
}
