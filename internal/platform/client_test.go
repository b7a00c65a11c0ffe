package platform

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/standin/fault"
	"siskintide.example/siskintide/tools/standin/platform/platformserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is long enough that no call of a test reaches it.
const testTimeout = time.Minute

func startStandIn(t *testing.T, options platformserver.Options) *platformserver.Server {
	t.Helper()
	standIn := platformserver.New(options)
	t.Cleanup(standIn.Close)
	return standIn
}

// connect serves the handler over HTTP and returns the server and a client of it.
func connect(t *testing.T, handler http.Handler) (*httptest.Server, *Client) {
	t.Helper()
	server := httptest.NewServer(handler)
	client := NewClient(server.Listener.Addr().String(), testTimeout)
	t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	return server, client
}

func insert(key, value string) core.Transaction {
	return core.Transaction{
		Conditions: []core.Condition{{Key: key}},
		Writes:     []core.Write{{Key: key, Value: []byte(value)}},
	}
}

func TestTable(t *testing.T) {
	standIn := startStandIn(t, platformserver.Options{})
	_, client := connect(t, standIn)
	ctx := t.Context()
	require.NoError(t, client.Commit(ctx, insert("a/2", "two")))
	require.NoError(t, client.Commit(ctx, insert("a/1", "")))
	rows, err := client.Rows(ctx, "a/")
	require.NoError(t, err)
	require.Equal(t, []core.Row{{Key: "a/1", Version: 2, Value: []byte{}}, {Key: "a/2", Version: 1, Value: []byte("two")}}, rows)

	both := insert("a/3", "three")
	both.Conditions = append(both.Conditions, core.Condition{Key: "a/2", Version: 9})
	var conflict *ConflictError
	require.ErrorAs(t, client.Commit(ctx, both), &conflict)
	require.Equal(t, []string{"a/2"}, conflict.Keys)
	row, err := client.Row(ctx, "a/3")
	require.NoError(t, err)
	require.Equal(t, core.Row{Key: "a/3"}, row, "a transaction with a conflict wrote something")

	remove := core.Transaction{Conditions: []core.Condition{{Key: "a/2", Version: 1}}, Writes: []core.Write{{Key: "a/2"}}}
	require.NoError(t, client.Commit(ctx, remove))
	require.NoError(t, client.Commit(ctx, insert("a/2", "new")))
	row, err = client.Row(ctx, "a/2")
	require.NoError(t, err)
	require.Greater(t, row.Version, uint64(1), "a version was reused after a deletion")
	require.Equal(t, platformserver.Counts{TableReads: 3, TableWrites: 5}, standIn.Counts())
}

func TestObjects(t *testing.T) {
	_, client := connect(t, startStandIn(t, platformserver.Options{}))
	_, err := client.Object(t.Context(), "config/7")
	var missing *NotFoundError
	require.ErrorAs(t, err, &missing)
	require.NoError(t, client.PutObject(t.Context(), "config/7", []byte("body?")))
	body, err := client.Object(t.Context(), "config/7")
	require.NoError(t, err)
	require.Equal(t, "body?", string(body))
}

// TestWriteFaults guards against a write error of the wrong type: the type decides whether
// the caller may assume that nothing was written.
func TestWriteFaults(t *testing.T) {
	writes := map[string]struct {
		write   func(context.Context, *Client) error
		written func(context.Context, *Client) (bool, error)
	}{
		"commit": {
			func(ctx context.Context, c *Client) error { return c.Commit(ctx, insert("k", "v")) },
			func(ctx context.Context, c *Client) (bool, error) {
				row, err := c.Row(ctx, "k")
				return row.Version > 0, err
			},
		},
		"announce": {
			func(ctx context.Context, c *Client) error { return c.Announce(ctx, core.Host{ID: "h"}) },
			func(ctx context.Context, c *Client) (bool, error) {
				hosts, err := c.Hosts(ctx)
				return len(hosts) == 1, err
			},
		},
		"object": {
			func(ctx context.Context, c *Client) error { return c.PutObject(ctx, "k", []byte("v")) },
			func(ctx context.Context, c *Client) (bool, error) {
				_, err := c.Object(ctx, "k")
				if _, missing := err.(*NotFoundError); missing {
					return false, nil
				}
				return err == nil, err
			},
		},
	}
	faults := map[string]struct {
		kind    fault.Kind
		failure any
		written bool
	}{
		"down":                  {platformserver.FaultDown, new(*UnavailableError), false},
		"response lost":         {platformserver.FaultLoseAnswer, new(*AmbiguousError), true},
		"lost before the write": {platformserver.FaultDrop, new(*AmbiguousError), false},
	}
	for writeName, w := range writes {
		for faultName, f := range faults {
			t.Run(writeName+"/"+faultName, func(t *testing.T) {
				standIn := startStandIn(t, platformserver.Options{})
				_, client := connect(t, standIn)
				standIn.InjectFault(fault.Spec{Kind: f.kind, Count: 1})
				require.ErrorAs(t, w.write(t.Context(), client), f.failure)
				written, err := w.written(t.Context(), client)
				require.NoError(t, err)
				require.Equal(t, f.written, written)
			})
		}
	}
}

// TestWriteTakesEffectAfterCallerCancels guards against reporting a cancelled write as not
// done: the platform may still execute it later.
func TestWriteTakesEffectAfterCallerCancels(t *testing.T) {
	clock := clockwork.NewFakeClock()
	standIn := startStandIn(t, platformserver.Options{Clock: clock})
	slow, client := connect(t, standIn)
	defer clock.Advance(time.Hour) // ends the delayed call if the test fails
	standIn.InjectFault(fault.Spec{Kind: platformserver.FaultSlow, DelayMS: 60_000, Count: 1})
	ctx, cancel := context.WithCancel(t.Context())
	failure := make(chan error, 1)
	go func() { failure <- client.Commit(ctx, insert("k", "v")) }()
	require.NoError(t, clock.BlockUntilContext(t.Context(), 1))
	cancel()
	var ambiguous *AmbiguousError
	require.ErrorAs(t, <-failure, &ambiguous)

	_, other := connect(t, standIn)
	row, err := other.Row(t.Context(), "k")
	require.NoError(t, err)
	require.Zero(t, row.Version)
	clock.Advance(time.Minute)
	slow.Close() // waits for the delayed call
	row, err = other.Row(t.Context(), "k")
	require.NoError(t, err)
	require.NotZero(t, row.Version)
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := NewClient(listener.Addr().String(), testTimeout)
	var unavailable *UnavailableError
	require.ErrorAs(t, client.Commit(t.Context(), insert("k", "v")), &unavailable)
	_, err = client.Rows(t.Context(), "")
	require.ErrorAs(t, err, &unavailable)
}

func TestWriteStatuses(t *testing.T) {
	cases := map[int]any{
		http.StatusBadRequest:          new(*UnavailableError),
		http.StatusServiceUnavailable:  new(*UnavailableError),
		http.StatusInternalServerError: new(*AmbiguousError),
		http.StatusGatewayTimeout:      new(*AmbiguousError),
	}
	for status, failure := range cases {
		_, client := connect(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
		require.ErrorAs(t, client.Commit(t.Context(), insert("k", "v")), failure, "status %d", status)
	}
}

func TestHostListDelayAndExpiry(t *testing.T) {
	clock := clockwork.NewFakeClock()
	_, client := connect(t, startStandIn(t, platformserver.Options{Clock: clock, HostLag: 5 * time.Second, HostTTL: 15 * time.Second}))
	host := core.Host{ID: "h", DataCentre: "oslo-a", PeerAddress: "127.0.0.1:1"}
	require.NoError(t, client.Announce(t.Context(), host))
	steps := []struct {
		wait  time.Duration
		hosts []core.Host
	}{
		{4 * time.Second, []core.Host{}},
		{time.Second, []core.Host{host}},
		{15 * time.Second, []core.Host{host}},
		{time.Second, []core.Host{}},
	}
	for _, step := range steps {
		clock.Advance(step.wait)
		hosts, err := client.Hosts(t.Context())
		require.NoError(t, err)
		require.Equal(t, step.hosts, hosts)
	}
}

// TestCutAffectsOnlyNamedCallers guards against calls without the header Calling-Host: the
// platform then could not cut off one host alone.
func TestCutAffectsOnlyNamedCallers(t *testing.T) {
	standIn := startStandIn(t, platformserver.Options{})
	_, cut := connect(t, standIn)
	_, linked := connect(t, standIn)
	cut.SetCaller("oslo-b-1")
	linked.SetCaller("oslo-a-1")
	standIn.InjectFault(fault.Spec{Kind: platformserver.FaultCut, Callers: []string{"oslo-b-1"}})
	ctx := t.Context()

	var ambiguous *AmbiguousError
	require.ErrorAs(t, cut.Commit(ctx, insert("a", "cut")), &ambiguous)
	var unavailable *UnavailableError
	_, err := cut.Row(ctx, "a")
	require.ErrorAs(t, err, &unavailable)

	require.NoError(t, linked.Commit(ctx, insert("a", "linked")))
	standIn.InjectFault(fault.Spec{Kind: fault.Clear})
	got, err := cut.Row(ctx, "a")
	require.NoError(t, err)
	require.Equal(t, "linked", string(got.Value))
}
