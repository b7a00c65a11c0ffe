package edgecontrol

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/discard"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/rollout"
	"siskintide.example/siskintide/internal/message"
)

// noMetrics implements RolloutMetrics.
type noMetrics struct{}

func (noMetrics) Exposed(core.PoolID, core.Version)         {}
func (noMetrics) Ended(core.PoolID, core.Version, bool)     {}
func (noMetrics) PhaseBegan(core.PoolID, core.RolloutPhase) {}

// rolloutState is the control state of a host that rolls out versions, with the writes that it has begun.
type rolloutState struct {
	*hubState
	writes []RolloutWrite
	rows   map[core.PoolID]RolloutRow
}

func newRolloutState() *rolloutState {
	h := &rolloutState{hubState: &hubState{clock: time.Hour, revision: 10}, rows: map[core.PoolID]RolloutRow{}}
	h.state = newState(&Options{
		Self: host("h"), Clock: func() time.Duration { return h.clock }, Log: &log.Logger{Handler: discard.New()},
		Send: func(_ core.HostID, m message.Message) bool { h.sent = append(h.sent, m); return true }, SetPeers: func([]core.Host) {},
		Rollout: &RolloutOptions{
			Bounds: rollout.Bounds{Share: 0.1, Slack: 50, RollbackTime: 5 * time.Second}, Metrics: noMetrics{},
			Write: func(w RolloutWrite) { h.writes = append(h.writes, w) },
		},
		post: func(event) {},
	})
	h.setHosts([]core.Host{host("h")})
	return h
}

// versions returns two engines of each of the versions.
func (h *rolloutState) versions(all ...core.Version) []core.Registration {
	var registrations []core.Registration
	for i, v := range all {
		for n := range 2 {
			registrations = append(registrations, core.Registration{
				Target: core.TargetID(fmt.Sprintf("%s-%d", v, n)), Pool: "llm", Address: "127.0.0.1:9", DataCentre: "a", Slots: 8, Version: v, Born: int64(i + 1), Revision: h.revision + 1,
			})
		}
	}
	return registrations
}

// readRollouts applies a read of the orders and the records.
func (h *rolloutState) readRollouts(orders map[core.PoolID]core.RolloutOrder) {
	h.revision++
	updateEvent{Update: Update{SentAt: h.clock, Orders: orders, Rollouts: h.rows, StoreTime: h.clock + 1000*time.Hour, CoversRegistry: true, RegistryRevision: h.revision}}.apply(h.state)
	h.candidatesByPool = nil
}

// commit puts the last write into the store, and reads it.
func (h *rolloutState) commit(orders map[core.PoolID]core.RolloutOrder) {
	w := h.writes[len(h.writes)-1]
	h.writes = nil
	h.rows = map[core.PoolID]RolloutRow{w.Record.Pool: {Record: w.Record, Version: h.revision + 1}}
	h.readRollouts(orders)
}

func (h *rolloutState) pass(d time.Duration) {
	h.clock += d
	h.readRollouts(nil)
	h.tick()
	h.candidatesByPool = nil
}

// place places a request and returns the target.
func (h *rolloutState) place(req PlacementRequest) placement.Candidate {
	reply := make(chan Assignment, 1)
	req.Pool = "llm"
	if req.Request.ID == "" {
		req.Request.ID = fmt.Sprint(h.clock, len(h.sent))
	}
	placeEvent{req: req, reply: reply}.apply(h.state)
	return (<-reply).Target
}

// A host that starts in a rollout must not take the first version that it finds for the one in force: the record tells.
func TestNoTargetBeforeTheRecordsAreKnown(t *testing.T) {
	h := newRolloutState()
	h.read(engineConfig(3), h.versions("v1", "v2"))
	h.candidatesByPool = nil
	require.Empty(t, h.place(PlacementRequest{First: true}).Target)
	h.rows["llm"] = RolloutRow{Version: 7, Record: core.RolloutRecord{Pool: "llm", Sequence: 4, Phase: core.RolloutCompleted, Current: "v2", To: "v2"}}
	h.readRollouts(map[core.PoolID]core.RolloutOrder{})
	require.Equal(t, core.Version("v2"), h.place(PlacementRequest{First: true}).Version)
	require.False(t, h.view.VersionsUnknown)
}

// ordered returns a state whose rollout to v2 is probed, with its orders.
func ordered(t *testing.T) (*rolloutState, map[core.PoolID]core.RolloutOrder) {
	h := newRolloutState()
	h.read(engineConfig(3), h.versions("v1"))
	h.readRollouts(map[core.PoolID]core.RolloutOrder{})
	h.tick()
	require.Len(t, h.writes, 1)
	require.Zero(t, h.writes[0].Expected)
	require.False(t, h.writes[0].Announce, "operators ordered nothing")
	h.commit(nil)
	h.read(engineConfig(3), h.versions("v1", "v2"))
	h.candidatesByPool = nil
	for range 20 {
		require.Equal(t, core.Version("v1"), h.place(PlacementRequest{First: true}).Version, "a new version gets requests before its order")
	}
	orders := map[core.PoolID]core.RolloutOrder{"llm": {Pool: "llm", To: "v2", Duration: 12 * time.Second, Position: core.StorePosition{Era: 1, Revision: 8}}}
	h.readRollouts(orders)
	h.pass(time.Second)
	require.Len(t, h.writes, 1)
	require.True(t, h.writes[0].Announce)
	h.commit(nil)
	h.pass(450 * time.Millisecond)
	return h, orders
}

// Only requests that were never sent are exposed, and a stream stays within its version.
func TestVersionsOfRequestsDuringProbing(t *testing.T) {
	h, _ := ordered(t)
	probed := 0
	for i := range 60 {
		if h.place(PlacementRequest{First: true, Request: placement.Request{ID: fmt.Sprint(i)}}).Version == "v2" {
			probed++
		}
	}
	require.Positive(t, probed)
	require.LessOrEqual(t, probed, 12)
	for i := range 60 {
		require.Equal(t, core.Version("v1"), h.place(PlacementRequest{Request: placement.Request{ID: fmt.Sprint(i)}}).Version, "a retry escapes to the new version")
	}
	for _, v := range []core.Version{"v1", "v2"} {
		moved := h.place(PlacementRequest{Versioned: true, Version: v, Request: placement.Request{TransfersMemory: true}})
		require.Equal(t, v, moved.Version, "a stream moves to another version")
		require.Equal(t, v, h.place(PlacementRequest{RunningOn: core.TargetID(v + "-1")}).Version)
	}
}

// While traffic shifts, all answers are of the new version. Their times must not be compared with those of before: a
// moment in which the machine was slow rolled a good version back.
func TestAnswersDuringTheShiftAreNotTimed(t *testing.T) {
	h, _ := ordered(t)
	choice := placement.Choice{Target: h.candidate("v2-0")}
	ticket := h.rolloutTicket(choice, PlacementRequest{Pool: "llm"})
	require.True(t, ticket.counts())
	require.False(t, ticket.timed || ticket.paced)
	record, _ := h.rollout("llm").controller.Record()
	record.Sequence, record.Phase = record.Sequence+1, core.RolloutShifting
	h.adoptRecord(record)
	ticket = h.rolloutTicket(choice, PlacementRequest{Pool: "llm"})
	require.True(t, ticket.counts())
	require.True(t, ticket.timed && ticket.paced)
}

// After a rollback nothing may be sent to the new version, not even for a stream that runs there.
func TestNothingGoesOnAtARolledBackVersion(t *testing.T) {
	h, _ := ordered(t)
	record, _ := h.rollout("llm").controller.Record()
	record.Sequence, record.Phase = record.Sequence+1, core.RolloutRolledBack
	h.rows = map[core.PoolID]RolloutRow{"llm": {Record: record, Version: 40}}
	h.readRollouts(nil)
	for range 50 {
		require.Equal(t, core.Version("v1"), h.place(PlacementRequest{First: true}).Version)
	}
	require.Empty(t, h.place(PlacementRequest{Versioned: true, Version: "v2", Request: placement.Request{TransfersMemory: true}}).Target)
	require.Empty(t, h.place(PlacementRequest{RunningOn: "v2-0"}).Target)
	require.Equal(t, core.TargetID("v1-0"), h.place(PlacementRequest{RunningOn: "v1-0"}).Target)
}

// A write that failed must be tried again, and one whose response was lost is known by the row. A write under way must
// not be repeated.
func TestWritesOfRecords(t *testing.T) {
	h, _ := ordered(t)
	h.writes = nil
	h.pass(600 * time.Millisecond)
	require.Len(t, h.writes, 1)
	h.pass(100 * time.Millisecond)
	require.Len(t, h.writes, 1)
	rolloutWrittenEvent{pool: "llm", sequence: h.writes[0].Record.Sequence, err: errors.New("conflict")}.apply(h.state)
	h.pass(100 * time.Millisecond)
	require.Len(t, h.writes, 2)
	require.Equal(t, h.writes[0].Expected, h.writes[1].Expected)
	h.commit(nil)
	h.pass(600 * time.Millisecond)
	require.Len(t, h.writes, 1, "the record that was read ends the wait for the response")
	require.Equal(t, h.rows["llm"].Version, h.writes[0].Expected)
}

// A restored store has an older record, or none, and may lack the order until the operator writes it again. What is known
// must be written again, and the rollout must not count as withdrawn.
func TestRestoredStoreGetsTheRecordAgain(t *testing.T) {
	h, orders := ordered(t)
	known, _ := h.rollout("llm").controller.Record()
	h.rows = map[core.PoolID]RolloutRow{}
	h.writes = nil
	h.restoration = restoration{noticedAt: h.clock}
	h.readRollouts(map[core.PoolID]core.RolloutOrder{})
	h.pass(100 * time.Millisecond)
	require.Empty(t, h.writes)
	order := orders["llm"]
	order.Position = core.StorePosition{Era: 2, Revision: 3}
	h.readRollouts(map[core.PoolID]core.RolloutOrder{"llm": order})
	h.pass(100 * time.Millisecond)
	h.pass(rolloutBehindTime)
	require.Len(t, h.writes, 1)
	require.Zero(t, h.writes[0].Expected)
	require.True(t, h.writes[0].Announce)
	require.Equal(t, known.Reserved, h.writes[0].Record.Reserved)
	h.commit(nil)
	h.pass(100 * time.Millisecond)
	require.NotEmpty(t, h.writes)
	require.Equal(t, order.Position, h.writes[0].Record.Order)
	require.Equal(t, core.RolloutProbing, h.writes[0].Record.Phase)
	require.GreaterOrEqual(t, h.writes[0].Record.Reserved, known.Reserved, "the exposure of before does not count any more")
}

// A subscriber must learn of the records with its first update and of each change, or it would use targets of a version
// that is not in force.
func TestSubscribersGetRecords(t *testing.T) {
	h, _ := ordered(t)
	h.setHosts([]core.Host{host("h"), host("subscriber")})
	h.read(engineConfig(3), h.versions("v1", "v2"))
	updates, _ := h.request(message.HubRequest{SentAt: 1, Subscription: 1})
	require.Len(t, updates, 1)
	require.True(t, updates[0].HasRollouts)
	require.Equal(t, core.Version("v2"), updates[0].Rollouts[0].To)
	subscriber := newRolloutState()
	subscriber.applyHubRollouts(updates[0])
	record, known := subscriber.rollout("llm").controller.Record()
	require.True(t, known)
	require.Equal(t, core.RolloutProbing, record.Phase)
	before := h.view
	record.Sequence, record.Phase = record.Sequence+9, core.RolloutShifting
	h.sent = nil
	h.adoptRecord(record)
	h.notifySubscribers(&before, &h.view)
	require.Len(t, h.sent, 1)
	require.Equal(t, core.RolloutShifting, h.sent[0].(message.HubUpdate).Rollouts[0].Phase)
}

// A host must survive any report, quota or record that another host sends.
func TestAnyRolloutMessageIsHandled(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h, _ := ordered(t)
		h.setHosts([]core.Host{host("h"), host("peer")})
		h.chooser.SetLinked("peer", true)
		record, _ := h.rollout("llm").controller.Record()
		for range rapid.IntRange(1, 10).Draw(rt, "messages") {
			switch rapid.IntRange(0, 2).Draw(rt, "kind") {
			case 0:
				report := rapid.Make[core.RolloutReport]().Draw(rt, "report")
				report.Pool, report.Order = "llm", record.Order
				messageEvent{from: "peer", message: message.HubRequest{Rollouts: []core.RolloutReport{report}}}.apply(h.state)
			case 1:
				quota := rapid.Make[core.RolloutQuota]().Draw(rt, "quota")
				quota.Pool, quota.Order = "llm", record.Order
				h.acceptQuotas([]core.RolloutQuota{quota}, h.clock)
			default:
				any := rapid.Make[core.RolloutRecord]().Draw(rt, "record")
				any.Pool = "llm"
				h.applyHubRollouts(message.HubUpdate{Rollouts: []core.RolloutRecord{any}})
			}
			h.pass(time.Duration(rapid.IntRange(0, 900).Draw(rt, "wait")) * time.Millisecond)
			h.place(PlacementRequest{First: true})
		}
	})
}
