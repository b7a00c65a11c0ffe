package control

import (
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/memory"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/decide/revision"
	"siskintide.example/siskintide/internal/decide/weights"
	"siskintide.example/siskintide/internal/message"
)

// sent is one message that a host sent.
type sent struct {
	to      core.HostID
	message message.Message
}

// fakePorts records effects. A table in memory answers ownership effects; deliver applies
// the answers.
type fakePorts struct {
	sent      []sent
	polled    []core.TargetID
	events    []Event
	linked    map[core.HostID]bool
	leases    map[core.HostID]ownership.LeaseRow
	owners    map[core.TargetID]ownership.OwnerRow
	away      bool // the platform cannot be reached
	cancelled []core.GenerationID

	statesRead []core.TargetID
	ordered    []orders.SendOrder
	slotsTaken []weights.Claim
	slotsGiven []weights.Claim
}

func newFakePorts() *fakePorts {
	return &fakePorts{
		linked: map[core.HostID]bool{},
		leases: map[core.HostID]ownership.LeaseRow{},
		owners: map[core.TargetID]ownership.OwnerRow{},
	}
}

func (f *fakePorts) Send(to core.HostID, m message.Message) bool {
	if f.linked[to] {
		f.sent = append(f.sent, sent{to: to, message: m})
	}
	return f.linked[to]
}

func (f *fakePorts) SetPeers([]core.Host) {}

func (f *fakePorts) ReadRows(effect ownership.ReadRows) {
	answer := ownership.ReadResponse{ID: effect.ID, OK: !f.away}
	for _, row := range f.leases {
		answer.Leases = append(answer.Leases, row)
	}
	for _, row := range f.owners {
		answer.Owners = append(answer.Owners, row)
	}
	f.events = append(f.events, rowsEvent{answer: answer})
}

func (f *fakePorts) CommitRows(effect ownership.CommitRows) {
	if f.away {
		f.events = append(f.events, unavailableEvent{id: effect.ID})
		return
	}
	answer := ownership.CommitResponse{ID: effect.ID, Outcome: ownership.Committed}
	for _, c := range effect.LeaseConditions {
		if f.leases[c.Host].Version != c.Version {
			answer.Outcome = ownership.Conflict
		}
	}
	for _, c := range effect.OwnerConditions {
		if f.owners[c.Target].Version != c.Version {
			answer.Outcome = ownership.Conflict
		}
	}
	if answer.Outcome == ownership.Committed {
		f.write(effect)
	}
	f.events = append(f.events, commitEvent{answer: answer})
}

func (f *fakePorts) write(effect ownership.CommitRows) {
	for _, lease := range effect.Leases {
		f.leases[lease.Host] = ownership.LeaseRow{Lease: lease, Version: f.leases[lease.Host].Version + 1}
	}
	for _, owner := range effect.Owners {
		f.owners[owner.Target] = ownership.OwnerRow{Owner: owner, Version: f.owners[owner.Target].Version + 1}
	}
}

func (f *fakePorts) ReadConfigHead()                                   {}
func (f *fakePorts) FetchConfigBody(revision.Head)                     {}
func (f *fakePorts) SendConfig(core.HostID, *core.Config)              {}
func (f *fakePorts) RelayCommit(core.HostID, uint64, core.Transaction) {}
func (f *fakePorts) Poll(target core.Target, _ core.LoadReport) {
	f.polled = append(f.polled, target.ID)
}
func (f *fakePorts) ReadEngine(target core.Target, _ core.Fence, _ uint64) {
	f.statesRead = append(f.statesRead, target.ID)
}
func (f *fakePorts) SendOrder(_ core.Target, order orders.SendOrder) {
	f.ordered = append(f.ordered, order)
}
func (f *fakePorts) AcquireLoadSlot(claim weights.Claim) { f.slotsTaken = append(f.slotsTaken, claim) }
func (f *fakePorts) ReleaseLoadSlot(claim weights.Claim) { f.slotsGiven = append(f.slotsGiven, claim) }
func (f *fakePorts) Cancel(_ string, generation core.GenerationID) {
	f.cancelled = append(f.cancelled, generation)
}

// sentTo returns the messages of one type that went to a host.
func sentTo[M message.Message](f *fakePorts, to core.HostID) []M {
	var found []M
	for _, s := range f.sent {
		if m, ok := s.message.(M); ok && s.to == to {
			found = append(found, m)
		}
	}
	return found
}

// world is one host's control state with a clock that the test moves.
type world struct {
	t     testing.TB
	state *state
	ports *fakePorts
	now   time.Time
}

func newWorld(t *testing.T) *world { return newWorldFor(t) }

func newWorldFor(t testing.TB) *world {
	t.Helper()
	w := &world{t: t, ports: newFakePorts(), now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	w.state = newState(Options{
		Self:     core.Host{ID: "a1", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:1"},
		Session:  "session-a1",
		Settings: DefaultSettings(),
		Timing:   ownership.DefaultTiming(),
		Clock:    clockwork.NewFakeClock(),
		Log:      &log.Logger{Handler: memory.New()},
	})
	w.state.ports = w.ports
	return w
}

// apply applies an event as the loop does, then the answers that it leads to.
func (w *world) apply(event Event) {
	w.t.Helper()
	w.state.handle(event, w.now)
	w.deliver()
}

// deliver applies the answers of effects until there are none.
func (w *world) deliver() {
	for len(w.ports.events) > 0 {
		next := w.ports.events[0]
		w.ports.events = w.ports.events[1:]
		next.apply(w.state, w.now)
	}
}

// advance lets time pass in ticks.
func (w *world) advance(d time.Duration) {
	w.t.Helper()
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(w.state.settings.Tick)
		w.state.tick(w.now)
		w.deliver()
	}
}

// testConfig declares two engines in oslo-a and one in oslo-b.
func testConfig(revision core.Revision) *core.Config {
	return &core.Config{
		Revision:    revision,
		DataCentres: []core.DataCentre{{ID: "oslo-a", State: core.StateIn}, {ID: "oslo-b", State: core.StateIn}},
		Kinds:       []core.TargetKind{{ID: "runner", Role: core.RoleEngine, ColdStreams: 2, WarmStreams: 8, MemoryTokens: 10000, FirstTokenMS: 770, TokenGapMS: 77}},
		Models:      []core.Model{{ID: "manus", Version: "v1", MaxTokens: 1000, QueueMS: 5000, QueueEntries: 10}},
		Classes:     []core.ClassSpec{{ID: "interactive"}},
		Teams:       []core.Team{{ID: "radio", Weight: 1, Class: "interactive"}},
		Targets: []core.Target{
			{ID: "e1", DataCentre: "oslo-a", Address: "127.0.0.1:11", Kind: "runner", Model: "manus", State: core.StateIn},
			{ID: "e2", DataCentre: "oslo-a", Address: "127.0.0.1:12", Kind: "runner", Model: "manus", State: core.StateIn},
			{ID: "e3", DataCentre: "oslo-b", Address: "127.0.0.1:13", Kind: "runner", Model: "manus", State: core.StateIn},
		},
	}
}

func generation(n byte) core.GenerationID { return core.GenerationID{n} }

func (w *world) demand(n byte) core.TicketRequest {
	return core.TicketRequest{Generation: generation(n), EntryHost: "a1", Team: "radio", Pool: core.ModelPool("manus"), Class: "interactive", PromptTokens: 10, MaxTokens: 100, QueueBudget: 5 * time.Second}
}

// own makes the host own its data centre's targets and lets them report.
func (w *world) own() {
	w.t.Helper()
	w.apply(offerEvent{config: testConfig(1)})
	w.advance(3 * time.Second)
	require.Len(w.t, w.state.polls, 2)
	w.advance(30 * time.Second)
	w.report("e1")
	w.report("e2")
}

// report lets a target report that it runs what its owner granted.
func (w *world) report(target core.TargetID, streams ...core.StreamLoad) {
	w.t.Helper()
	w.apply(loadEvent{target: target, report: &core.LoadReport{
		Target: target, Incarnation: "i1", ListsStreams: true, Streams: streams, MemoryTotal: 10000,
	}})
}

// ask sends a local demand and returns the channel of its answer.
func (w *world) ask(n byte) chan reply {
	w.t.Helper()
	answers := make(chan reply, 1)
	w.apply(demandEvent{demand: w.demand(n), reply: answers})
	return answers
}

// receive returns an answer that must be there.
func (w *world) receive(answers chan reply) reply {
	w.t.Helper()
	require.Len(w.t, answers, 1, "the demand has no answer")
	return <-answers
}
