package engine

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/fault"
)

func TestCancelAndLoad(t *testing.T) {
	b := start(t, engineserver.Options{})
	s := b.open(t, 1, endlessAnswer)
	_, err := s.Next()
	require.NoError(t, err)
	report, err := b.client.LoadReport(t.Context(), "t", b.address)
	require.NoError(t, err)
	require.True(t, report.ListsStreams)
	require.Equal(t, core.TargetID("t"), report.Target)
	require.Equal(t, core.Incarnation("e-1"), report.Incarnation)
	require.Len(t, report.Streams, 1)
	require.Equal(t, b.ticket(1).Generation, report.Streams[0].Generation)
	require.Equal(t, report.Streams[0].Context, report.MemoryUsed)
	for range 2 {
		require.NoError(t, b.client.Cancel(t.Context(), b.address, b.ticket(1).Generation))
	}
	_, err = readAll(s)
	var broken *BrokenStreamError
	require.ErrorAs(t, err, &broken)
	report, err = b.client.LoadReport(t.Context(), "t", b.address)
	require.NoError(t, err)
	require.Empty(t, report.Streams)
	require.Zero(t, report.MemoryUsed)
}

func TestOrders(t *testing.T) {
	load := Order{Fence: 5, Kind: OrderLoad, Model: "m", Version: "v2", Adapter: "a"}
	stale := Order{Fence: 4, Kind: OrderRole, Role: "idle"}
	for _, checks := range []bool{true, false} {
		b := start(t, engineserver.Options{ChecksFences: checks, LoadTime: time.Nanosecond})
		for range 2 {
			require.NoError(t, b.client.Order(t.Context(), b.address, load))
		}
		err := b.client.Order(t.Context(), b.address, stale)
		role := "idle"
		if checks {
			require.Equal(t, &RejectedError{Status: 409, Type: "stale_fence"}, err)
			role = "serving"
		}
		state, err := b.client.State(t.Context(), b.address)
		require.NoError(t, err)
		require.Equal(t, role, state.Role)
		require.Equal(t, core.Fence(5), state.Fence)
		require.True(t, state.Ready("m", "v2"))
		require.Equal(t, []string{"a"}, state.Models[1].Adapters)
		require.Len(t, state.Models, 2)
	}
}

func TestOrderWhoseAnswerIsLost(t *testing.T) {
	b := start(t, engineserver.Options{})
	b.standIn.Fault(fault.Order{Kind: engineserver.FaultLoseOrder, Count: 1})
	var lost *CallError
	require.ErrorAs(t, b.client.Order(t.Context(), b.address, Order{Fence: 1, Kind: OrderRole, Role: "idle"}), &lost)
	state, err := b.client.State(t.Context(), b.address)
	require.NoError(t, err)
	require.Equal(t, "idle", state.Role)
}

func TestCacheEventsHaveGaps(t *testing.T) {
	b := start(t, engineserver.Options{CacheGapEvery: 3, CacheEntries: 2})
	for n, prompt := range []string{"a", "b", "a", "c"} {
		b.whole(t, byte(n+1), Request{Model: "m", Prompt: prompt, MaxTokens: 1})
	}
	b.standIn.Fault(fault.Order{Kind: engineserver.FaultCold})
	page, err := b.client.CacheEvents(t.Context(), b.address, 1)
	require.NoError(t, err)
	kinds := []CacheEventKind{}
	for _, event := range page.Events {
		kinds = append(kinds, event.Kind)
	}
	require.Equal(t, []CacheEventKind{CacheStored, CacheStored, CacheFlushed}, kinds)
	require.Equal(t, uint64(5), page.Next)
	require.NotEqual(t, page.Events[0].Prefix, page.Events[1].Prefix)
}
