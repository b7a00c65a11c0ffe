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
	worldHosts   = 3
	worldTargets = 2
	worldCold    = 2
	worldWarm    = 8
	worldQueue   = 6
	worldBudget  = 4 * time.Second
	worldTransit = 1900 * time.Millisecond // longest transit of a request, a report or a close
	worldLongest = 20 * time.Second        // longest stream
	worldLinger  = 10 * time.Second        // time for which an engine continues a stream without a reader
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
func (e *fakeEngine) capacity() int { return min(worldCold+e.completions, worldWarm) }

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

// world simulates a pool, its engines and entry hosts, and links that delay and lose
// messages.
type world struct {
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

func newWorld(t *rapid.T) *world {
	w := &world{
		t: t, now: time.Unix(1_000_000, 0), faulty: true,
		dead: map[core.HostID]int{}, sentAt: map[core.GenerationID]time.Time{},
		answers: map[core.GenerationID]int{}, owner: map[core.GenerationID]int{},
		withdrawn: map[core.GenerationID]bool{},
	}
	for i := range worldTargets {
		id := core.TargetID(fmt.Sprintf("e%d", i))
		w.engines = append(w.engines, &fakeEngine{id: id, running: map[core.GenerationID]*fakeStream{}})
	}
	w.takeOver()
	return w
}

// takeOver replaces the owner by a new one without any state.
func (w *world) takeOver() {
	w.owners++
	w.fence++
	w.pool = New("model/m", "owner", Settings{QueueEntries: worldQueue, MaxTokens: 1000})
	kind := core.TargetKind{ColdStreams: worldCold, WarmStreams: worldWarm, MemoryTokens: 100_000}
	for _, engine := range w.engines {
		w.apply(w.pool.SetTarget(core.Target{ID: engine.id, Address: "127.0.0.1:1"}, kind, w.fence, true, w.now))
	}
}

// delay draws the transit time of a message, up to the given bound.
func (w *world) delay(bound time.Duration, label string) time.Duration {
	return time.Duration(rapid.Int64Range(1, int64(bound/time.Millisecond)).Draw(w.t, label)) * time.Millisecond
}

func (w *world) after(wait time.Duration, do func()) {
	w.pending = append(w.pending, event{at: w.now.Add(wait), do: do})
}

func (w *world) chance(percent int, label string) bool {
	return w.faulty && rapid.IntRange(1, 100).Draw(w.t, label) <= percent
}

// advance advances the simulated time in steps and runs the events that are due.
func (w *world) advance(span time.Duration) {
	const step = 50 * time.Millisecond
	for end := w.now.Add(span); w.now.Before(end); {
		w.now = w.now.Add(step)
		w.runDue()
		w.endStreams()
		w.apply(w.pool.Tick(w.now))
		w.check()
	}
}

func (w *world) runDue() {
	for i := 0; i < len(w.pending); i++ {
		if due := w.pending[i]; !due.at.After(w.now) {
			w.pending = append(w.pending[:i], w.pending[i+1:]...)
			due.do()
			w.check()
			i = -1
		}
	}
}

func (w *world) check() {
	for _, engine := range w.engines {
		require.LessOrEqual(w.t, len(engine.running), engine.capacity(), "streams on %s", engine.incarnation())
	}
	require.LessOrEqual(w.t, w.pool.Summary().Queued, worldQueue)
}

// apply carries out the effects returned by the present owner.
func (w *world) apply(effects []Effect) {
	for _, effect := range effects {
		switch effect := effect.(type) {
		case Grant:
			w.answers[effect.Request.Generation]++
			w.granted++
			w.deliver(effect)
		case Refuse:
			w.answers[effect.Generation]++
			require.Equal(w.t, core.NotRun, effect.Refusal.Run)
		case Cancel:
			if engine := w.engine(effect.Target); engine.incarnation() == effect.Incarnation {
				delete(engine.running, effect.Generation)
			}
		}
	}
}

func (w *world) engine(id core.TargetID) *fakeEngine {
	for _, engine := range w.engines {
		if engine.id == id {
			return engine
		}
	}
	return nil
}

// deliver delivers a grant to its entry host, which may be slow or paused before it checks
// the ticket and sends the request.
func (w *world) deliver(grant Grant) {
	id, ticket := grant.Request.Generation, grant.Ticket
	host, deaths := grant.Request.EntryHost, w.dead[grant.Request.EntryHost]
	startBefore := w.sentAt[id].Add(ticket.ValidFor)
	if w.chance(5, "grant lost") {
		return
	}
	wait := w.delay(200*time.Millisecond, "grant transit")
	if w.chance(20, "host paused") {
		wait += w.delay(8*time.Second, "pause")
	}
	w.after(wait, func() {
		switch {
		case w.dead[host] != deaths:
		case w.withdrawn[id] || !w.now.Before(startBefore):
			w.close(id, ticket.Target, core.Unused)
		default:
			w.after(w.delay(worldTransit, "request transit"), func() { w.start(grant) })
		}
	})
}

// start handles the arrival of a request at its engine.
func (w *world) start(grant Grant) {
	id, ticket := grant.Request.Generation, grant.Ticket
	engine := w.engine(ticket.Target)
	if engine.incarnation() != ticket.Incarnation {
		w.close(id, ticket.Target, core.Failed)
		return
	}
	length := w.delay(worldLongest, "length")
	engine.running[id] = &fakeStream{entry: grant.Request.EntryHost, endsAt: w.now.Add(length), prompt: grant.Request.PromptTokens}
}

// endStreams completes the streams that have reached their end.
func (w *world) endStreams() {
	for _, engine := range w.engines {
		for _, id := range engine.ids() {
			if engine.running[id].endsAt.After(w.now) {
				continue
			}
			delete(engine.running, id)
			engine.completions++
			w.close(id, engine.id, core.Completed)
		}
	}
}

// close sends the close of a ticket, which may get lost, arrive late or arrive twice.
func (w *world) close(id core.GenerationID, target core.TargetID, result core.Result) {
	outcome := core.Outcome{Generation: id, Target: target, Result: result, Output: 10}
	send := func() {
		w.after(w.delay(worldTransit, "close transit"), func() { w.apply(w.pool.CloseTicket(outcome, w.now)) })
	}
	if w.chance(20, "close lost") {
		return
	}
	send()
	if w.chance(20, "close twice") {
		send()
	}
}
