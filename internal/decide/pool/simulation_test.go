package pool

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const (
	simHosts         = 3
	simTargets       = 2
	simColdStreams   = 2
	simWarmStreams   = 8
	simQueueEntries  = 6
	simQueueBudget   = 4 * time.Second
	simMaxTransit    = 1900 * time.Millisecond // longest transit of a request, a report or a close
	simMaxStreamTime = 20 * time.Second        // longest stream
	simLinger        = 10 * time.Second        // time for which an engine continues a stream without a reader
)

// fakeEngine simulates a target, and knows its actual load.
type fakeEngine struct {
	id          core.TargetID
	starts      int
	completions int
	running     map[core.GenerationID]*fakeStream
}

type fakeStream struct {
	entry  core.HostID
	endsAt time.Time
	prompt core.Tokens
}

// capacity returns the number of streams that the present incarnation can run: its cold
// floor, and one more for each stream that it has completed.
func (e *fakeEngine) capacity() int { return min(simColdStreams+e.completions, simWarmStreams) }

func (e *fakeEngine) incarnation() core.Incarnation {
	return core.Incarnation(fmt.Sprintf("%s-%d", e.id, e.starts))
}

// ids returns the running streams in a fixed order, so that runs are reproducible.
func (e *fakeEngine) ids() []core.GenerationID {
	ids := slices.Collect(maps.Keys(e.running))
	slices.SortFunc(ids, func(a, b core.GenerationID) int { return slices.Compare(a[:], b[:]) })
	return ids
}

// event is a function to be called at a simulated time.
type event struct {
	at time.Time
	do func()
}

// simulation simulates a pool, its engines and entry hosts, and links that delay and lose
// messages.
type simulation struct {
	t         *rapid.T
	now       time.Time
	pool      *Pool
	fence     core.Fence
	engines   []*fakeEngine
	dead      map[core.HostID]int // number of crashes of each host
	pending   []event
	sentAt    map[core.GenerationID]time.Time
	answers   map[core.GenerationID]int
	owner     map[core.GenerationID]int // owner to which the request was sent
	owners    int
	next      uint64
	faulty    bool
	withdrawn map[core.GenerationID]bool
	granted   int
}

func newSimulation(t *rapid.T) *simulation {
	sim := &simulation{
		t: t, now: time.Unix(1_000_000, 0), faulty: true,
		dead: map[core.HostID]int{}, sentAt: map[core.GenerationID]time.Time{},
		answers: map[core.GenerationID]int{}, owner: map[core.GenerationID]int{},
		withdrawn: map[core.GenerationID]bool{},
	}
	for i := range simTargets {
		id := core.TargetID(fmt.Sprintf("e%d", i))
		sim.engines = append(sim.engines, &fakeEngine{id: id, running: map[core.GenerationID]*fakeStream{}})
	}
	sim.takeOver()
	return sim
}

// takeOver replaces the owner by a new one without any state.
func (sim *simulation) takeOver() {
	sim.owners++
	sim.fence++
	sim.pool = New("model/m", "owner", Settings{QueueEntries: simQueueEntries, MaxTokens: 1000})
	kind := core.TargetKind{ColdStreams: simColdStreams, WarmStreams: simWarmStreams, MemoryTokens: 100_000}
	for _, engine := range sim.engines {
		sim.apply(sim.pool.SetTarget(core.Target{ID: engine.id, Address: "127.0.0.1:1"}, kind, sim.fence, true, sim.now))
	}
}

// delay draws the transit time of a message, up to the given bound.
func (sim *simulation) delay(bound time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(bound/time.Millisecond)).Draw(sim.t, label)) * time.Millisecond
}

func (sim *simulation) after(wait time.Duration, do func()) {
	sim.pending = append(sim.pending, event{at: sim.now.Add(wait), do: do})
}

func (sim *simulation) chance(percent int, label string) bool {
	return sim.faulty && rapid.IntRange(1, 100).Draw(sim.t, label) <= percent
}

// advance advances the simulated time in steps and runs the events that are due.
func (sim *simulation) advance(span time.Duration) {
	const step = 50 * time.Millisecond
	for end := sim.now.Add(span); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		sim.runDue()
		sim.endStreams()
		sim.apply(sim.pool.Tick(sim.now))
		sim.check()
	}
}

func (sim *simulation) runDue() {
	for i := 0; i < len(sim.pending); i++ {
		if due := sim.pending[i]; !due.at.After(sim.now) {
			sim.pending = append(sim.pending[:i], sim.pending[i+1:]...)
			due.do()
			sim.check()
			i = -1
		}
	}
}

func (sim *simulation) check() {
	for _, engine := range sim.engines {
		require.LessOrEqual(sim.t, len(engine.running), engine.capacity(), "streams on %s", engine.incarnation())
	}
	require.LessOrEqual(sim.t, sim.pool.Capacity().Queued, simQueueEntries)
}

// apply carries out the effects returned by the present owner.
func (sim *simulation) apply(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Grant:
			sim.answers[effect.Request.Generation]++
			sim.granted++
			sim.deliver(effect)
		case Refuse:
			sim.answers[effect.Generation]++
			require.Equal(sim.t, core.NotRun, effect.Refusal.Run)
		case Cancel:
			if engine := sim.engine(effect.Target); engine.incarnation() == effect.Incarnation {
				delete(engine.running, effect.Generation)
			}
		}
	}
}

func (sim *simulation) engine(id core.TargetID) *fakeEngine {
	for _, engine := range sim.engines {
		if engine.id == id {
			return engine
		}
	}
	return nil
}

// deliver delivers a grant to its entry host, which may be slow or paused before it checks
// the ticket and sends the request.
func (sim *simulation) deliver(grant Grant) {
	id, ticket := grant.Request.Generation, grant.Ticket
	host, deaths := grant.Request.EntryHost, sim.dead[grant.Request.EntryHost]
	startBefore := sim.sentAt[id].Add(ticket.ValidFor)
	if sim.chance(5, "grant lost") {
		return
	}
	wait := sim.delay(200*time.Millisecond, "grant transit")
	if sim.chance(20, "host paused") {
		wait += sim.delay(8*time.Second, "pause")
	}
	sim.after(wait, func() {
		switch {
		case sim.dead[host] != deaths:
		case sim.withdrawn[id] || !sim.now.Before(startBefore):
			sim.close(id, ticket.Target, core.Unused)
		default:
			sim.after(sim.delay(simMaxTransit, "request transit"), func() { sim.start(grant) })
		}
	})
}

// start handles the arrival of a request at its engine.
func (sim *simulation) start(grant Grant) {
	id, ticket := grant.Request.Generation, grant.Ticket
	engine := sim.engine(ticket.Target)
	if engine.incarnation() != ticket.Incarnation {
		sim.close(id, ticket.Target, core.Failed)
		return
	}
	length := sim.delay(simMaxStreamTime, "length")
	engine.running[id] = &fakeStream{entry: grant.Request.EntryHost, endsAt: sim.now.Add(length), prompt: grant.Request.PromptTokens}
}

// endStreams completes the streams that have reached their end.
func (sim *simulation) endStreams() {
	for _, engine := range sim.engines {
		for _, id := range engine.ids() {
			if engine.running[id].endsAt.After(sim.now) {
				continue
			}
			delete(engine.running, id)
			engine.completions++
			sim.close(id, engine.id, core.Completed)
		}
	}
}

// close sends the close of a ticket, which may get lost, arrive late or arrive twice.
func (sim *simulation) close(id core.GenerationID, target core.TargetID, result core.Result) {
	outcome := core.Outcome{Generation: id, Target: target, Result: result, Output: 10}
	send := func() {
		sim.after(sim.delay(simMaxTransit, "close transit"), func() { sim.apply(sim.pool.CloseTicket(outcome, sim.now)) })
	}
	if sim.chance(20, "close lost") {
		return
	}
	send()
	if sim.chance(20, "close twice") {
		send()
	}
}
