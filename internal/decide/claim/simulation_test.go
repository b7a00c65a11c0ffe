package claim

import (
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// actor is one request with the key on some host. It takes a step only when the test
// schedules it, so it may be delayed at any point, or forever.
type actor struct {
	call   Call
	next   []Effect
	reply  *Effect
	readAt int // time of its first read; zero: none yet
	writes int
	body   byte
}

// write is a write whose response was lost and that may still take effect.
type write struct {
	version uint64
	record  Record
}

// simulation is one row of the platform, one service and the requests with one key.
type simulation struct {
	t            *rapid.T
	now          time.Time
	tick         int
	version      uint64
	row          Record
	inFlight     []write
	pending      []byte // calls in flight to the service
	runs         int
	voidedAt     int // time at which the row was last made void
	voidAttempts map[core.GenerationID]bool
	actors       []*actor
}

func newSimulation(t *rapid.T) *simulation {
	return &simulation{t: t, now: time.Unix(1_000_000, 0), tick: 1, voidAttempts: map[core.GenerationID]bool{}}
}

func (sim *simulation) add(body byte) {
	id := core.GenerationID{byte(len(sim.actors) + 1)}
	call, effect := New("h", id, [16]byte{body}, lifetime)
	sim.actors = append(sim.actors, &actor{call: call, next: []Effect{effect}, body: body})
}

// act executes the next effect of one request with the given fault.
func (sim *simulation) act(a *actor, fault string) {
	if len(a.next) == 0 {
		return
	}
	effect := a.next[0]
	a.next = a.next[1:]
	event, ok := sim.perform(a, effect, fault)
	if !ok {
		return
	}
	call, effects := a.call.Step(event, sim.now)
	a.call = call
	a.next = append(a.next, effects...)
}

func (sim *simulation) perform(a *actor, effect Effect, fault string) (Event, bool) {
	switch effect.Kind {
	case EffectRead:
		return sim.read(a, fault), true
	case EffectAcquire:
		if fault == "refused" {
			return Event{Kind: EventRefused, Refusal: &core.Refusal{Kind: core.RefusedQueueFull, Run: core.NotRun}}, true
		}
		return Event{Kind: EventGranted}, true
	case EffectWrite:
		a.writes++
		return sim.write(effect, fault), true
	case EffectSend:
		return sim.send(a, fault), true
	}
	sim.replied(a, effect)
	return Event{}, false
}

func (sim *simulation) read(a *actor, fault string) Event {
	if fault == "unavailable" {
		return Event{Kind: EventReadFailed}
	}
	if a.readAt == 0 {
		a.readAt = sim.tick
	}
	return Event{Kind: EventRead, Version: sim.version, Record: sim.row}
}

func (sim *simulation) write(effect Effect, fault string) Event {
	switch fault {
	case "unavailable":
		return Event{Kind: EventNotApplied}
	case "lost":
		sim.inFlight = append(sim.inFlight, write{effect.Version, effect.Record})
		return Event{Kind: EventWriteAmbiguous}
	}
	ok := sim.apply(effect.Version, effect.Record)
	if fault == "answer lost" {
		return Event{Kind: EventWriteAmbiguous}
	}
	if !ok {
		return Event{Kind: EventConflict}
	}
	return Event{Kind: EventCommitted}
}

func (sim *simulation) apply(version uint64, record Record) bool {
	if version != sim.version {
		return false
	}
	sim.version++
	sim.row = record
	if record.State == core.ClaimVoid {
		require.Zero(sim.t, sim.runs+len(sim.pending), "the row was made void, but the call ran or may still run")
		sim.voidAttempts[record.Attempt] = true
		sim.voidedAt = sim.tick
	}
	return true
}

// send delivers the call to the service now, later, or not at all.
func (sim *simulation) send(a *actor, fault string) Event {
	require.Greater(sim.t, a.readAt, sim.voidedAt, "a request that read the row before it was made void ran after it")
	switch fault {
	case "unsent":
		return Event{Kind: EventUnsent, Refusal: &core.Refusal{Kind: core.RefusedTargetFailed, Run: core.NotRun}}
	case "lost":
		sim.pending = append(sim.pending, a.body)
		return Event{Kind: EventAmbiguous}
	}
	sim.run()
	if fault == "answer lost" {
		return Event{Kind: EventAmbiguous}
	}
	return Event{Kind: EventAnswered}
}

func (sim *simulation) run() {
	sim.runs++
	require.LessOrEqual(sim.t, sim.runs, 1, "the service ran the call twice")
}

func (sim *simulation) replied(a *actor, effect Effect) {
	require.Nil(sim.t, a.reply, "answered twice")
	a.reply = &effect
	if effect.Kind == EffectReplay {
		require.Equal(sim.t, core.ClaimAnswered, sim.row.State)
		require.Equal(sim.t, a.body, sim.row.BodyHash[0])
	}
	if effect.Kind != EffectRefuse || effect.Refusal.Run != core.NotRun || effect.Refusal.Kind == core.RefusedKeyConflict {
		return
	}
	require.True(sim.t, sim.voidAttempts[a.call.own.Attempt], "the caller was told not run, but the claim is not void")
}
