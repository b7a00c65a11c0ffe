package claim

import (
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// actor is one request with the key at some host. It acts only when the schedule says so,
// so it may be frozen at any point, or for good.
type actor struct {
	call   Call
	next   []Effect
	reply  *Effect
	readAt int // time of its first read; zero: none yet
	writes int
	body   byte
}

// write is a write whose answer was lost and which may still take effect.
type write struct {
	version uint64
	record  Record
}

// world is one row at the platform, one service and the requests with one key.
type world struct {
	t        *rapid.T
	now      time.Time
	tick     int
	version  uint64
	row      Record
	floating []write
	pending  []byte // calls on their way to the service
	runs     int
	voided   int // time at which the row was last made void
	void     map[core.GenerationID]bool
	actors   []*actor
}

func newWorld(t *rapid.T) *world {
	return &world{t: t, now: time.Unix(1_000_000, 0), tick: 1, void: map[core.GenerationID]bool{}}
}

func (w *world) add(body byte) {
	id := core.GenerationID{byte(len(w.actors) + 1)}
	call, effect := New("h", id, [16]byte{body}, lasting)
	w.actors = append(w.actors, &actor{call: call, next: []Effect{effect}, body: body})
}

// act lets one request carry out its next effect with the given fault.
func (w *world) act(a *actor, fault string) {
	if len(a.next) == 0 {
		return
	}
	effect := a.next[0]
	a.next = a.next[1:]
	event, ok := w.perform(a, effect, fault)
	if !ok {
		return
	}
	call, effects := a.call.Step(event, w.now)
	a.call = call
	a.next = append(a.next, effects...)
}

func (w *world) perform(a *actor, effect Effect, fault string) (Event, bool) {
	switch effect.Kind {
	case EffectRead:
		return w.read(a, fault), true
	case EffectAcquire:
		if fault == "refused" {
			return Event{Kind: EventRefused, Refusal: &core.Refusal{Kind: core.RefusedQueueFull, Run: core.NotRun}}, true
		}
		return Event{Kind: EventGranted}, true
	case EffectWrite:
		a.writes++
		return w.write(effect, fault), true
	case EffectSend:
		return w.send(a, fault), true
	}
	w.replied(a, effect)
	return Event{}, false
}

func (w *world) read(a *actor, fault string) Event {
	if fault == "away" {
		return Event{Kind: EventReadFailed}
	}
	if a.readAt == 0 {
		a.readAt = w.tick
	}
	return Event{Kind: EventRead, Version: w.version, Record: w.row}
}

func (w *world) write(effect Effect, fault string) Event {
	switch fault {
	case "away":
		return Event{Kind: EventNotApplied}
	case "lost":
		w.floating = append(w.floating, write{effect.Version, effect.Record})
		return Event{Kind: EventWriteAmbiguous}
	}
	ok := w.apply(effect.Version, effect.Record)
	if fault == "answer lost" {
		return Event{Kind: EventWriteAmbiguous}
	}
	if !ok {
		return Event{Kind: EventConflict}
	}
	return Event{Kind: EventCommitted}
}

func (w *world) apply(version uint64, record Record) bool {
	if version != w.version {
		return false
	}
	w.version++
	w.row = record
	if record.State == core.ClaimVoid {
		require.Zero(w.t, w.runs+len(w.pending), "made void, but it ran or may still run")
		w.void[record.Attempt] = true
		w.voided = w.tick
	}
	return true
}

// send lets the call reach the service now, later, or not at all.
func (w *world) send(a *actor, fault string) Event {
	require.Greater(w.t, a.readAt, w.voided, "a request that read the row before it was made void ran after it")
	switch fault {
	case "unsent":
		return Event{Kind: EventUnsent, Refusal: &core.Refusal{Kind: core.RefusedTargetFailed, Run: core.NotRun}}
	case "lost":
		w.pending = append(w.pending, a.body)
		return Event{Kind: EventAmbiguous}
	}
	w.run()
	if fault == "answer lost" {
		return Event{Kind: EventAmbiguous}
	}
	return Event{Kind: EventAnswered}
}

func (w *world) run() {
	w.runs++
	require.LessOrEqual(w.t, w.runs, 1, "the service ran the call twice")
}

func (w *world) replied(a *actor, effect Effect) {
	require.Nil(w.t, a.reply, "answered twice")
	a.reply = &effect
	if effect.Kind == EffectReplay {
		require.Equal(w.t, core.ClaimAnswered, w.row.State)
		require.Equal(w.t, a.body, w.row.BodyHash[0])
	}
	if effect.Kind != EffectRefuse || effect.Refusal.Run != core.NotRun || effect.Refusal.Kind == core.RefusedKeyConflict {
		return
	}
	require.True(w.t, w.void[a.call.own.Attempt], "told not run, but the claim is not void")
}
