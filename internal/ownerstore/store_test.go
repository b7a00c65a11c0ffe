package ownerstore

import (
	"context"
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
	"siskintide.example/siskintide/internal/platform"
)

// fakeTable stores rows in memory and records the prefixes of reads in order.
type fakeTable struct {
	rows  map[string]core.Row
	reads []string
	err   error
}

func (f *fakeTable) Rows(_ context.Context, prefix string) ([]core.Row, error) {
	f.reads = append(f.reads, prefix)
	var rows []core.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	return rows, f.err
}

func (f *fakeTable) Row(_ context.Context, key string) (core.Row, error) { return f.rows[key], f.err }

func (f *fakeTable) Commit(_ context.Context, transaction core.Transaction) error {
	for _, write := range transaction.Writes {
		f.rows[write.Key] = core.Row{Key: write.Key, Version: uint64(len(f.rows) + 1), Value: write.Value}
	}
	return f.err
}

var (
	lease  = ownership.Lease{Host: "h1", Session: "s", Epoch: 3, Serial: 4, Ended: true}
	other  = ownership.Lease{Host: "h10", Session: "s", Epoch: 1, Serial: 1}
	owner  = ownership.Owner{Target: "t", Holder: "h1", Session: "s", Epoch: 3, Fence: 9}
	commit = ownership.CommitRows{
		LeaseConditions: []ownership.LeaseCondition{{Host: "h1", Version: 5}},
		OwnerConditions: []ownership.OwnerCondition{{Target: "t", Version: 6}},
		Leases:          []ownership.Lease{lease, other},
		Owners:          []ownership.Owner{owner},
	}
)

func newStore(t *testing.T) (*Store, *fakeTable) {
	t.Helper()
	table := &fakeTable{rows: map[string]core.Row{}}
	store := New(table, "a")
	require.NoError(t, table.Commit(t.Context(), store.Encode(commit)))
	return store, table
}

func TestRowsAreReadAsWritten(t *testing.T) {
	store, table := newStore(t)
	response := store.Read(t.Context(), "h1", ownership.ReadRows{ID: 7, Scope: ownership.ReadAll})
	require.Equal(t, uint64(7), response.ID)
	require.True(t, response.OK)
	require.ElementsMatch(t, []ownership.LeaseRow{{Lease: lease, Version: 1}, {Lease: other, Version: 2}}, response.Leases)
	require.Equal(t, []ownership.OwnerRow{{Owner: owner, Version: 3}}, response.Owners)
	require.Equal(t, []string{"owner/a/", "lease/a/"}, table.reads, "owners are read before leases")

	response = store.Read(t.Context(), "h1", ownership.ReadRows{ID: 8, Scope: ownership.ReadOwnLease})
	require.Equal(t, []ownership.LeaseRow{{Lease: lease, Version: 1}}, response.Leases)
	response = store.Read(t.Context(), "h2", ownership.ReadRows{ID: 9, Scope: ownership.ReadOwnLease})
	require.True(t, response.OK, "a row that does not exist")
	require.Empty(t, response.Leases)
}

func TestConditionsCarryKeysAndVersions(t *testing.T) {
	store, _ := newStore(t)
	want := []core.Condition{{Key: "lease/a/h1", Version: 5}, {Key: "owner/a/t", Version: 6}}
	require.Equal(t, want, store.Encode(commit).Conditions)
}

func TestFailedReadReturnsNoRows(t *testing.T) {
	cases := []struct {
		name string
		row  core.Row
		err  error
	}{
		{"lease that is no JSON", core.Row{Key: "lease/a/h3", Version: 9, Value: []byte("{")}, nil},
		{"lease under another host's key", core.Row{Key: "lease/a/h3", Version: 9, Value: []byte(`{"host":"h4"}`)}, nil},
		{"owner that is no JSON", core.Row{Key: "owner/a/u", Version: 9, Value: nil}, nil},
		{"owner under another target's key", core.Row{Key: "owner/a/u", Version: 9, Value: []byte(`{"target":"t"}`)}, nil},
		{"platform unavailable", core.Row{Key: "x"}, &platform.UnavailableError{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			store, table := newStore(t)
			table.rows[c.row.Key] = c.row
			table.err = c.err
			response := store.Read(t.Context(), "h3", ownership.ReadRows{ID: 1, Scope: ownership.ReadAll})
			require.Equal(t, ownership.ReadResponse{ID: 1}, response)
		})
	}
}

func TestVersionAfterACommit(t *testing.T) {
	store, table := newStore(t)
	transaction := store.Encode(commit)
	require.Equal(t, uint64(1), store.ReadBackVersion(t.Context(), transaction))
	table.rows["lease/a/h1"] = core.Row{Key: "lease/a/h1", Version: 8, Value: []byte("another")}
	require.Zero(t, store.ReadBackVersion(t.Context(), transaction), "written again since")
	require.Zero(t, store.ReadBackVersion(t.Context(), core.Transaction{}))
}

func TestOutcomes(t *testing.T) {
	cases := map[error]ownership.Outcome{
		nil:                          ownership.Committed,
		&platform.ConflictError{}:    ownership.Conflict,
		&platform.UnavailableError{}: ownership.Unavailable,
		&platform.AmbiguousError{}:   ownership.Ambiguous,
		context.DeadlineExceeded:     ownership.Ambiguous,
	}
	for err, want := range cases {
		require.Equal(t, want, OutcomeOf(err), "%v", err)
		if err != nil {
			require.Equal(t, want, OutcomeOf(fmt.Errorf("commit: %w", err)))
		}
	}
}
