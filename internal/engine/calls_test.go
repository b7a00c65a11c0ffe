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
	f := start(t, engineserver.Options{})
	s := f.open(t, 1, endlessAnswer)
	_, err := s.Next()
	require.NoError(t, err)
	report, err := f.client.LoadReport(t.Context(), "t", f.address)
	require.NoError(t, err)
	require.True(t, report.ListsStreams)
	require.Equal(t, core.TargetID("t"), report.Target)
	require.Equal(t, core.Incarnation("e-1"), report.Incarnation)
	require.Len(t, report.Streams, 1)
	require.Equal(t, f.ticket(1).Generation, report.Streams[0].Generation)
	require.Equal(t, report.Streams[0].Context, report.MemoryUsed)
	for range 2 {
		require.NoError(t, f.client.Cancel(t.Context(), f.address, f.ticket(1).Generation))
	}
	_, err = readAll(s)
	var broken *BrokenStreamError
	require.ErrorAs(t, err, &broken)
	report, err = f.client.LoadReport(t.Context(), "t", f.address)
	require.NoError(t, err)
	require.Empty(t, report.Streams)
	require.Zero(t, report.MemoryUsed)
}

func TestOrders(t *testing.T) {
	load := Order{Fence: 5, Kind: OrderLoad, Model: "m", Version: "v2", Adapter: "a"}
	stale := Order{Fence: 4, Kind: OrderRole, Role: "idle"}
	for _, checks := range []bool{true, false} {
		f := start(t, engineserver.Options{ChecksFences: checks, LoadTime: time.Nanosecond})
		for range 2 {
			require.NoError(t, f.client.Order(t.Context(), f.address, load))
		}
		err := f.client.Order(t.Context(), f.address, stale)
		role := "idle"
		if checks {
			require.Equal(t, &RejectedError{Status: 409, Type: "stale_fence"}, err)
			role = "serving"
		}
		state, err := f.client.State(t.Context(), f.address)
		require.NoError(t, err)
		require.Equal(t, role, state.Role)
		require.Equal(t, core.Fence(5), state.Fence)
		require.True(t, state.Ready("m", "v2"))
		require.Equal(t, []string{"a"}, state.Models[1].Adapters)
		require.Len(t, state.Models, 2)
	}
}

func TestOrderResponseLost(t *testing.T) {
	f := start(t, engineserver.Options{})
	f.standIn.InjectFault(fault.Spec{Kind: engineserver.FaultLoseOrder, Count: 1})
	var ambiguous *CallError
	require.ErrorAs(t, f.client.Order(t.Context(), f.address, Order{Fence: 1, Kind: OrderRole, Role: "idle"}), &ambiguous)
	state, err := f.client.State(t.Context(), f.address)
	require.NoError(t, err)
	require.Equal(t, "idle", state.Role)
}

func TestCacheEventsHaveGaps(t *testing.T) {
	f := start(t, engineserver.Options{CacheGapEvery: 3, CacheEntries: 2})
	for n, prompt := range []string{"a", "b", "a", "c"} {
		f.startAndRead(t, byte(n+1), Request{Model: "m", Prompt: prompt, MaxTokens: 1})
	}
	f.standIn.InjectFault(fault.Spec{Kind: engineserver.FaultCold})
	page, err := f.client.CacheEvents(t.Context(), f.address, 1)
	require.NoError(t, err)
	kinds := []CacheEventKind{}
	for _, event := range page.Events {
		kinds = append(kinds, event.Kind)
	}
	require.Equal(t, []CacheEventKind{CacheStored, CacheStored, CacheFlushed}, kinds)
	require.Equal(t, uint64(5), page.Next)
	require.NotEqual(t, page.Events[0].Prefix, page.Events[1].Prefix)
}
