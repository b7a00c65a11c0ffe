package service

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/standin/fault"
	"siskintide.example/siskintide/tools/standin/service/serviceserver"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// start runs a stand-in service and returns it, its address and a client with its own
// transport.
func start(t *testing.T, options serviceserver.Options) (*serviceserver.Server, string, *Client) {
	t.Helper()
	standIn := serviceserver.New(options)
	server := httptest.NewServer(standIn)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		server.Close()
		standIn.Close()
	})
	return standIn, server.Listener.Addr().String(), NewClient(&http.Client{Transport: transport})
}

func newCall(t *testing.T, method, body string) *http.Request {
	t.Helper()
	call, err := http.NewRequest(method, "http://caller.invalid/bookings", strings.NewReader(body))
	require.NoError(t, err)
	if body == "" {
		call.Body, call.GetBody = nil, nil
	}
	call.Header.Set("Idempotency-Key", "k")
	return call
}

func TestDoFaults(t *testing.T) {
	cases := map[string]struct {
		fault     fault.Kind
		ambiguous bool
		runs      int
	}{
		"no fault":                  {fault: fault.Clear, runs: 1},
		"late answer":               {fault: serviceserver.FaultLate, runs: 1},
		"process lost after it ran": {fault: serviceserver.FaultDie, ambiguous: true, runs: 1},
		"connection cut before":     {fault: serviceserver.FaultDrop, ambiguous: true, runs: 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			standIn, address, client := start(t, serviceserver.Options{Name: "s"})
			standIn.InjectFault(fault.Spec{Kind: c.fault, Count: 1, DelayMS: 1})
			response, err := client.Do(t.Context(), address, newCall(t, http.MethodPost, "slot 4"))
			if c.ambiguous {
				var ambiguous *AmbiguousError
				require.ErrorAs(t, err, &ambiguous)
			} else {
				require.NoError(t, err)
				body, err := io.ReadAll(response.Body)
				require.NoError(t, err)
				require.NoError(t, response.Body.Close())
				require.JSONEq(t, `{"path":"/bookings","body":"slot 4"}`, string(body))
			}
			require.Equal(t, c.runs, standIn.Runs().ByKey["k"])
		})
	}
}

func TestConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := NewClient(&http.Client{Transport: &http.Transport{}})
	_, err = client.Do(t.Context(), listener.Addr().String(), newCall(t, http.MethodPost, "x"))
	var unsent *UnsentError
	require.ErrorAs(t, err, &unsent)
}

func TestContextEndsBeforeConnection(t *testing.T) {
	_, address, client := start(t, serviceserver.Options{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := client.Do(ctx, address, newCall(t, http.MethodPost, "x"))
	var unsent *UnsentError
	require.ErrorAs(t, err, &unsent)
}

func TestColdProcessCrashes(t *testing.T) {
	standIn, address, client := start(t, serviceserver.Options{Name: "s", ColdCalls: 1, ColdFor: 1 << 40, Latency: 1 << 40})
	before, err := client.Probe(t.Context(), "t", address, core.LoadReport{})
	require.NoError(t, err)
	failures := make(chan error, 2)
	for range 2 {
		call := newCall(t, http.MethodPost, "x")
		go func() {
			_, err := client.Do(context.Background(), address, call)
			failures <- err
		}()
	}
	var ambiguous *AmbiguousError
	require.ErrorAs(t, <-failures, &ambiguous)
	require.ErrorAs(t, <-failures, &ambiguous)
	after, err := client.Probe(t.Context(), "t", address, before)
	require.NoError(t, err)
	require.NotEqual(t, before.Incarnation, after.Incarnation)
	require.Equal(t, 1, standIn.Runs().Crashes)
}

func TestProbe(t *testing.T) {
	standIn, address, client := start(t, serviceserver.Options{Name: "s"})
	report, err := client.Probe(t.Context(), "t", address, core.LoadReport{})
	require.NoError(t, err)
	require.Equal(t, core.LoadReport{Target: "t", Incarnation: "s-1"}, report)
	standIn.InjectFault(fault.Spec{Kind: serviceserver.FaultSick, Count: 1})
	_, err = client.Probe(t.Context(), "t", address, report)
	var unhealthy *UnhealthyError
	require.ErrorAs(t, err, &unhealthy)
	require.Equal(t, http.StatusServiceUnavailable, unhealthy.Status)
}

func TestProbeWithoutIncarnation(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	address := server.Listener.Addr().String()
	first, err := client.Probe(t.Context(), "t", address, core.LoadReport{})
	require.NoError(t, err)
	require.NotEmpty(t, first.Incarnation)
	again, err := client.Probe(t.Context(), "t", address, first)
	require.NoError(t, err)
	require.Equal(t, first.Incarnation, again.Incarnation)
}

func TestRedirectIsNotFollowed(t *testing.T) {
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	for status, method := range map[int]string{http.StatusSeeOther: http.MethodPost, http.StatusTemporaryRedirect: http.MethodGet} {
		server := httptest.NewServer(http.RedirectHandler("/elsewhere", status))
		response, err := client.Do(t.Context(), server.Listener.Addr().String(), newCall(t, method, ""))
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, status, response.StatusCode)
		server.Close()
	}
}

// serveOnce responds to the first request of each connection, and closes the connection
// without a response when it has read the second. It sends the path of each request that it
// reads to the channel.
func serveOnce(listener net.Listener, read chan<- string) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			close(read)
			return
		}
		reader := bufio.NewReader(conn)
		for i := range 2 {
			request, err := http.ReadRequest(reader)
			if err != nil {
				break
			}
			_, _ = io.Copy(io.Discard, request.Body)
			read <- request.URL.Path
			if i == 0 {
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			}
		}
		_ = conn.Close()
	}
}

func TestCallIsNotReplayed(t *testing.T) {
	cases := map[string]struct{ method, body string }{
		"safe method without body":  {http.MethodGet, ""},
		"key without body":          {http.MethodPost, ""},
		"key with rewindable body":  {http.MethodPost, "slot 4"},
		"delete without body":       {http.MethodDelete, ""},
		"put with rewindable body":  {http.MethodPut, "slot 4"},
		"safe method that has body": {http.MethodGet, "slot 4"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			read := make(chan string, 10)
			go serveOnce(listener, read)
			client := NewClient(&http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}})
			address := listener.Addr().String()
			_, err = client.Probe(t.Context(), "t", address, core.LoadReport{})
			require.NoError(t, err)
			reused := false
			trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }}
			ctx := httptrace.WithClientTrace(t.Context(), trace)
			_, err = client.Do(ctx, address, newCall(t, c.method, c.body))
			var ambiguous *AmbiguousError
			require.ErrorAs(t, err, &ambiguous)
			require.True(t, reused, "the call did not meet the closing connection")
			require.NoError(t, listener.Close())
			var paths []string
			for path := range read {
				paths = append(paths, path)
			}
			require.Equal(t, []string{"/healthz", "/bookings"}, paths)
		})
	}
}
