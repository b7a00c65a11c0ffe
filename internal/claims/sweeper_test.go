package claims

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/claim"
)

func TestSweepDeletesOnlyOldRows(t *testing.T) {
	clock := clockwork.NewFakeClock()
	table := newMemoryTable(t)
	ages := map[string]time.Duration{
		"claims/000old":       -minRetention,
		"claims/000young":     time.Minute - minRetention,
		"claims/001elsewhere": -2 * minRetention,
	}
	for key, until := range ages {
		record := claim.Record{State: core.ClaimAnswered, ExpiresAt: clock.Now().Add(until)}
		value, err := json.Marshal(newRowBody(record, 0))
		require.NoError(t, err)
		table.rows[key] = core.Row{Key: key, Version: 4, Value: value}
	}
	table.rows["claims/000foreign"] = core.Row{Key: "claims/000foreign", Version: 1, Value: []byte("{}")}
	sweeper{table: table, clock: clock}.sweep(context.Background(), "claims/000")
	require.Len(t, table.rows, 3)
	require.NotContains(t, table.rows, "claims/000old")
}

func TestKeepIsCountedFromTheEndOfTheCall(t *testing.T) {
	until := time.UnixMilli(1_000_000)
	for retention, want := range map[time.Duration]time.Duration{0: minRetention, 2 * minRetention: 2 * minRetention} {
		body := newRowBody(claim.Record{ExpiresAt: until}, retention)
		require.Equal(t, until.Add(want).UnixMilli(), body.DeleteMS)
	}
}
