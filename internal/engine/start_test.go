package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/fault"
)

func TestRefusals(t *testing.T) {
	f := start(t, engineserver.Options{MemoryTokens: 100})
	running := f.open(t, 1, shortAnswer)
	_, err := readAll(running)
	require.Equal(t, io.EOF, err)
	stale := f.ticket(2)
	stale.Incarnation = "e-0"
	longPrompt := Request{Model: "m", Prompt: string(make([]byte, 500))}
	cases := map[string]struct {
		ticket  core.Ticket
		request Request
		want    error
	}{
		"unknown model":       {f.ticket(2), Request{Model: "other", Prompt: "x"}, &RejectedError{Status: 404, Type: "unknown_model"}},
		"other incarnation":   {stale, Request{Model: "m", Prompt: "x"}, &IncarnationError{Expected: "e-0", Running: "e-1"}},
		"prompt over memory":  {f.ticket(2), longPrompt, &RejectedError{Status: 413, Type: "too_large"}},
		"generation is known": {f.ticket(1), Request{Model: "m", Prompt: "x"}, &RejectedError{Status: 400, Type: "duplicate_request"}},
	}
	for name, c := range cases {
		_, err := f.client.Start(t.Context(), c.ticket, c.request)
		require.Equal(t, c.want, err, name)
	}
	f.standIn.InjectFault(fault.Spec{Kind: engineserver.FaultOverloaded})
	_, err = f.client.Start(t.Context(), f.ticket(2), Request{Model: "m", Prompt: "x"})
	require.Equal(t, &RejectedError{Status: 503, Type: "overloaded"}, err)
}

func TestStartConnectionRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := NewClient(&http.Client{Transport: &http.Transport{}})
	_, err = client.Start(t.Context(), core.Ticket{Address: listener.Addr().String()}, Request{})
	var unsent *UnsentError
	require.ErrorAs(t, err, &unsent)
	require.ErrorAs(t, client.Cancel(t.Context(), listener.Addr().String(), core.GenerationID{}), &unsent)
}

func TestUnexpectedIncarnation(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerIncarnation, "e-2")
	}))
	defer server.Close()
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	ticket := core.Ticket{Address: server.Listener.Addr().String(), Incarnation: "e-1"}
	_, err := client.Start(t.Context(), ticket, Request{})
	require.Equal(t, &IncarnationError{Expected: "e-1", Running: "e-2"}, err)
}

func TestStartResponseLost(t *testing.T) {
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	_, err := client.Start(t.Context(), core.Ticket{Address: cut.Listener.Addr().String()}, Request{})
	var broken *BrokenStreamError
	require.ErrorAs(t, err, &broken)
}

func TestStartAtAFrozenEngine(t *testing.T) {
	f := start(t, engineserver.Options{})
	f.standIn.InjectFault(fault.Spec{Kind: engineserver.FaultFreeze})
	wrote := make(chan struct{})
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(wrote) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(t.Context(), trace))
	failure := make(chan error, 1)
	go func() {
		_, err := f.client.Start(ctx, f.ticket(1), Request{Model: "m", Prompt: shortAnswer})
		failure <- err
	}()
	<-wrote
	cancel()
	var broken *BrokenStreamError
	require.ErrorAs(t, <-failure, &broken)
	f.standIn.InjectFault(fault.Spec{Kind: fault.Clear})
	f.startAndRead(t, 2, Request{Model: "m", Prompt: shortAnswer})
}
