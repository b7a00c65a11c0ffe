package pool

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

var serviceKind = core.TargetKind{ColdStreams: 2, WarmStreams: 6}

func unlisted(r *core.LoadReport) {
	r.ListsStreams = false
	r.MemoryTotal = 0
}

func (f *fixture) running() int { return f.pool.Views()[0].Running }

// TestPlainServiceReleasesOrphansAfterTimeout covers targets that list no streams: a call
// whose end is unknown counts as in use for exactly Settings.ReleaseAfter.
func TestPlainServiceReleasesOrphansAfterTimeout(t *testing.T) {
	cases := []struct {
		name string
		lose func(f *fixture, id core.GenerationID)
	}{
		{"entry host lost", func(f *fixture, _ core.GenerationID) { f.pool.HandleHostLost("h", f.now) }},
		{"abandoned", func(f *fixture, id core.GenerationID) {
			f.pool.CloseTicket(core.Outcome{Generation: id, Target: "e", Result: core.Abandoned}, f.now)
		}},
		{"failed", func(f *fixture, id core.GenerationID) {
			f.pool.CloseTicket(core.Outcome{Generation: id, Target: "e", Result: core.Failed}, f.now)
		}},
		{"withdrawn after the grant", func(f *fixture, id core.GenerationID) { f.pool.WithdrawRequest(id, f.now) }},
		{"no longer held", func(f *fixture, _ core.GenerationID) {
			f.pass(startWindow + settleMargin + time.Millisecond)
			f.pool.ReconcileHeldTickets("h", nil, f.now)
		}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			f := newFixture(t, serviceKind, 1)
			f.report(unlisted)
			id, _ := f.request()
			tc.lose(f, id)
			f.pass(20*time.Second - time.Millisecond)
			require.Equal(t, 1, f.running())
			f.pass(time.Millisecond)
			require.Zero(t, f.running())
		})
	}
}

func TestHeldTicketsStayInUse(t *testing.T) {
	f := newFixture(t, serviceKind, 1)
	f.report(unlisted)
	id, _ := f.request()
	f.pool.ReconcileHeldTickets("h", nil, f.now) // sent before the grant arrived
	f.pass(startWindow + settleMargin + time.Second)
	f.pool.ReconcileHeldTickets("h", []core.GenerationID{id}, f.now)
	f.pool.ReconcileHeldTickets("other", nil, f.now)
	f.pass(time.Hour)
	require.Equal(t, 1, f.running())
}

func TestNewOwnerOfPlainServiceWaitsForOldCalls(t *testing.T) {
	f := newFixture(t, serviceKind, 2)
	f.report(unlisted)
	f.pass(20*time.Second + startWindow + settleMargin)
	require.Zero(t, f.pool.Capacity().FreeStreams)
	f.pass(time.Millisecond)
	require.Equal(t, 2, f.pool.Capacity().FreeStreams)
}

func TestNewOwnerOfEngineWaitsForANewReport(t *testing.T) {
	f := newFixture(t, fixtureKind, 2)
	acquired := f.now
	f.pass(startWindow + settleMargin + time.Second)
	f.report(func(r *core.LoadReport) { r.Age = f.now.Sub(acquired.Add(startWindow + settleMargin)) })
	require.Zero(t, f.pool.Capacity().FreeStreams, "the report is not newer than the last possible start")
	f.report(func(r *core.LoadReport) {
		r.Streams = []core.StreamLoad{{Generation: core.GenerationID{7}, Context: 100}}
	})
	require.Equal(t, 1, f.pool.Capacity().FreeStreams, "a stream of the former owner counts")
}

func TestCloseOfAnotherTargetChangesNothing(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	id, _ := f.request()
	f.pool.CloseTicket(core.Outcome{Generation: id, Target: "other", Result: core.Completed}, f.now)
	require.Equal(t, 1, f.running())
	f.complete(id, 1, 1)
	f.complete(id, 1, 1)
	require.Zero(t, f.running())
}

// TestStreamThatStartsAfterItsTicketIsCancelled covers a host that was paused for longer
// than all margins and then sent its request anyway.
func TestStreamThatStartsAfterItsTicketIsCancelled(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	id, _ := f.request()
	f.pass(startWindow + settleMargin + time.Millisecond)
	f.report(nil)
	require.Zero(t, f.running())
	late := func(r *core.LoadReport) { r.Streams = []core.StreamLoad{{Generation: id, Context: 10}} }
	require.Equal(t, []Effect{Cancel{Generation: id, Target: "e", Incarnation: "i1"}}, f.report(late))
	require.Equal(t, 1, f.running(), "the stream counts until it is no longer listed")
}

func TestReclaimedTargetRevokesLongStreams(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	id, _ := f.request()
	long := core.TicketRequest{Generation: core.GenerationID{8}, EntryHost: "h", PromptTokens: 10, MaxTokens: 1000}
	f.pool.RequestTicket(long, f.now)
	f.pool.RecordProgress([]core.Progress{{Generation: id, Output: 99}}, f.now)
	leaving := func(r *core.LoadReport) { r.Leaving = true }
	f.pool.settings.MaxTokens = 100_000
	f.pool.tickets[long.Generation].request.MaxTokens = 100_000
	effects := f.report(leaving)
	require.Equal(t, []Effect{Revoke{Generation: long.Generation, Target: "e", EntryHost: "h"}}, effects)
	require.Empty(t, f.report(leaving), "a stream is revoked only once")
	require.Zero(t, f.pool.Capacity().FreeStreams)
}

func TestFailedPollStopsTickets(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	f.pool.MarkUnreachable("e", f.now)
	require.Zero(t, f.pool.Capacity().FreeStreams)
	f.report(nil)
	require.Equal(t, 2, f.pool.Capacity().FreeStreams)
}

func TestAvoidedTargetIsUsedOnlyAsLastResort(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	again := core.TicketRequest{Generation: core.GenerationID{1, 1}, EntryHost: "h", Avoid: "e", QueueBudget: time.Second}
	require.Len(t, f.pool.RequestTicket(again, f.now), 1)
	f.pool.SetTarget(core.Target{ID: "f"}, fixtureKind, 1, true, f.now)
	f.pool.ApplyReport(core.LoadReport{Target: "f", Incarnation: "i1", ListsStreams: true, MemoryTotal: 10_000}, f.now)
	again.Generation = core.GenerationID{1, 2}
	effects := f.pool.RequestTicket(again, f.now)
	require.Equal(t, core.TargetID("f"), effects[0].(Grant).Ticket.Target)
}

func TestPrefixHintSelectsTarget(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.pool.SetTarget(core.Target{ID: "f"}, fixtureKind, 1, true, f.now)
	f.report(nil)
	f.pool.ApplyReport(core.LoadReport{Target: "f", Incarnation: "i1", ListsStreams: true, MemoryTotal: 10_000}, f.now)
	request := core.TicketRequest{Generation: core.GenerationID{2, 1}, PrefixHash: 42, PromptTokens: 100, MaxTokens: 100}
	first := f.pool.RequestTicket(request, f.now)[0].(Grant).Ticket.Target
	request.Generation = core.GenerationID{2, 2}
	require.Equal(t, first, f.pool.RequestTicket(request, f.now)[0].(Grant).Ticket.Target)
	f.pool.ApplyReport(core.LoadReport{Target: first, Incarnation: "i1", ListsStreams: true, MemoryTotal: 10_000, CacheFlush: 1}, f.now)
	request.Generation = core.GenerationID{2, 3}
	require.NotEqual(t, first, f.pool.RequestTicket(request, f.now)[0].(Grant).Ticket.Target)
}

func TestEngineTicketStaysUntilItsStreamMustBeListed(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(nil)
	f.request()
	f.pass(startWindow + settleMargin)
	f.report(nil)
	require.Equal(t, 1, f.running(), "a request sent at the last moment may not be listed yet")
	f.pass(time.Millisecond)
	f.report(nil)
	require.Zero(t, f.running())
}

func TestOlderReportChangesNothing(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.report(func(r *core.LoadReport) {
		r.Streams = []core.StreamLoad{{Generation: core.GenerationID{7}, Context: 100}}
	})
	f.report(func(r *core.LoadReport) { r.Age = time.Second })
	require.Equal(t, 1, f.running())
}

// TestValidityEndsAStartWindowAfterTheGrant checks that ValidFor includes the time in the
// queue, because the entry host counts it from before it sent the request.
func TestValidityEndsAStartWindowAfterTheGrant(t *testing.T) {
	f := newFixture(t, fixtureKind, 1)
	f.request()
	f.now = f.now.Add(2 * time.Second)
	ticket := f.report(nil)[0].(Grant).Ticket
	require.Equal(t, 2*time.Second+startWindow, ticket.ValidFor)
}
