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

// fakeEffects records side effects. Ownership rows are read from and committed to a table in
// memory; harness.deliver applies the results.
type fakeEffects struct {
	sent                []sent
	polled              []core.TargetID
	events              []Event
	linked              map[core.HostID]bool
	leases              map[core.HostID]ownership.LeaseRow
	owners              map[core.TargetID]ownership.OwnerRow
	platformUnavailable bool // the platform is unreachable
	cancelled           []core.GenerationID

	statesRead    []core.TargetID
	ordered       []orders.SendOrder
	slotsAcquired []weights.Claim
	slotsReleased []weights.Claim
}

func newFakeEffects() *fakeEffects {
	return &fakeEffects{
		linked: map[core.HostID]bool{},
		leases: map[core.HostID]ownership.LeaseRow{},
		owners: map[core.TargetID]ownership.OwnerRow{},
	}
}

func (f *fakeEffects) Send(to core.HostID, m message.Message) bool {
	if f.linked[to] {
		f.sent = append(f.sent, sent{to: to, message: m})
	}
	return f.linked[to]
}

func (f *fakeEffects) SetPeers([]core.Host) {}

func (f *fakeEffects) ReadRows(effect ownership.ReadRows) {
	response := ownership.ReadResponse{ID: effect.ID, OK: !f.platformUnavailable}
	for _, row := range f.leases {
		response.Leases = append(response.Leases, row)
	}
	for _, row := range f.owners {
		response.Owners = append(response.Owners, row)
	}
	f.events = append(f.events, ownershipRowsEvent{response: response})
}

func (f *fakeEffects) CommitRows(effect ownership.CommitRows) {
	if f.platformUnavailable {
		f.events = append(f.events, commitUnavailableEvent{id: effect.ID})
		return
	}
	response := ownership.CommitResponse{ID: effect.ID, Outcome: ownership.Committed}
	for _, c := range effect.LeaseConditions {
		if f.leases[c.Host].Version != c.Version {
			response.Outcome = ownership.Conflict
		}
	}
	for _, c := range effect.OwnerConditions {
		if f.owners[c.Target].Version != c.Version {
			response.Outcome = ownership.Conflict
		}
	}
	if response.Outcome == ownership.Committed {
		f.write(effect)
	}
	f.events = append(f.events, ownershipCommitEvent{response: response})
}

func (f *fakeEffects) write(effect ownership.CommitRows) {
	for _, lease := range effect.Leases {
		f.leases[lease.Host] = ownership.LeaseRow{Lease: lease, Version: f.leases[lease.Host].Version + 1}
	}
	for _, owner := range effect.Owners {
		f.owners[owner.Target] = ownership.OwnerRow{Owner: owner, Version: f.owners[owner.Target].Version + 1}
	}
}

func (f *fakeEffects) ReadConfigHead()                                   {}
func (f *fakeEffects) FetchConfigBody(revision.Head)                     {}
func (f *fakeEffects) SendConfig(core.HostID, *core.Config)              {}
func (f *fakeEffects) RelayCommit(core.HostID, uint64, core.Transaction) {}
func (f *fakeEffects) Poll(target core.Target, _ core.LoadReport) {
	f.polled = append(f.polled, target.ID)
}
func (f *fakeEffects) ReadEngine(target core.Target, _ core.Fence, _ uint64) {
	f.statesRead = append(f.statesRead, target.ID)
}
func (f *fakeEffects) SendOrder(_ core.Target, order orders.SendOrder) {
	f.ordered = append(f.ordered, order)
}
func (f *fakeEffects) AcquireLoadSlot(claim weights.Claim) {
	f.slotsAcquired = append(f.slotsAcquired, claim)
}
func (f *fakeEffects) ReleaseLoadSlot(claim weights.Claim) {
	f.slotsReleased = append(f.slotsReleased, claim)
}
func (f *fakeEffects) Cancel(_ string, generation core.GenerationID) {
	f.cancelled = append(f.cancelled, generation)
}

// sentTo returns the messages of one type that were sent to a host.
func sentTo[M message.Message](f *fakeEffects, to core.HostID) []M {
	var found []M
	for _, s := range f.sent {
		if m, ok := s.message.(M); ok && s.to == to {
			found = append(found, m)
		}
	}
	return found
}

// harness is the control state of one host with a clock that the test advances.
type harness struct {
	t       testing.TB
	state   *state
	effects *fakeEffects
	now     time.Time
}

func newHarness(t *testing.T) *harness { return newHarnessFor(t) }

func newHarnessFor(t testing.TB) *harness {
	t.Helper()
	h := &harness{t: t, effects: newFakeEffects(), now: time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)}
	h.state = newState(Options{
		Self:     core.Host{ID: "a1", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:1"},
		Session:  "session-a1",
		Settings: DefaultSettings(),
		Timing:   ownership.DefaultTiming(),
		Clock:    clockwork.NewFakeClock(),
		Log:      &log.Logger{Handler: memory.New()},
	})
	h.state.effects = h.effects
	return h
}

// apply handles an event as the loop does, then the results of its side effects.
func (h *harness) apply(event Event) {
	h.t.Helper()
	h.state.handle(event, h.now)
	h.deliver()
}

// deliver applies the results of side effects until none is left.
func (h *harness) deliver() {
	for len(h.effects.events) > 0 {
		next := h.effects.events[0]
		h.effects.events = h.effects.events[1:]
		next.apply(h.state, h.now)
	}
}

// advance moves the clock on in steps of one tick.
func (h *harness) advance(d time.Duration) {
	h.t.Helper()
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(h.state.settings.Tick)
		h.state.tick(h.now)
		h.deliver()
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

func (h *harness) ticketRequest(n byte) core.TicketRequest {
	return core.TicketRequest{Generation: generation(n), EntryHost: "a1", Team: "radio", Pool: core.ModelPool("manus"), Class: "interactive", PromptTokens: 10, MaxTokens: 100, QueueBudget: 5 * time.Second}
}

// ownTargets makes the host acquire the targets of its data centre and lets each of them report
// once.
func (h *harness) ownTargets() {
	h.t.Helper()
	h.apply(offerConfigEvent{config: testConfig(1)})
	h.advance(3 * time.Second)
	require.Len(h.t, h.state.polls, 2)
	h.advance(30 * time.Second)
	h.report("e1")
	h.report("e2")
}

// report applies a load report of a target with the given streams.
func (h *harness) report(target core.TargetID, streams ...core.StreamLoad) {
	h.t.Helper()
	h.apply(loadEvent{target: target, report: &core.LoadReport{
		Target: target, Incarnation: "i1", ListsStreams: true, Streams: streams, MemoryTotal: 10000,
	}})
}

// acquire requests a ticket for a local request and returns the channel of the reply.
func (h *harness) acquire(n byte) chan reply {
	h.t.Helper()
	replies := make(chan reply, 1)
	h.apply(ticketRequestEvent{request: h.ticketRequest(n), reply: replies})
	return replies
}

// receive returns the reply and fails the test if there is none.
func (h *harness) receive(replies chan reply) reply {
	h.t.Helper()
	require.Len(h.t, replies, 1, "the request has no reply")
	return <-replies
}
