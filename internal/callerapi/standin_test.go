package callerapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/claims"
	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/platform"
	"siskintide.example/siskintide/internal/relay"
	"siskintide.example/siskintide/internal/service"
	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/fault"
	"siskintide.example/siskintide/tools/standin/platform/platformserver"
	"siskintide.example/siskintide/tools/standin/service/serviceserver"
)

const longBody = `{"model":"m","prompt":"draft [[length=40]]","seed":7,"stream":true}`

// standInDesk grants tickets for its addresses in turn, with the incarnation that runs there.
type standInDesk struct {
	fakeDesk
	addresses []string
	engines   *engine.Client // nil for plain services
}

func (d *standInDesk) Acquire(ctx context.Context, demand core.TicketRequest) (controlapi.Grant, error) {
	address := d.addresses[int(d.granted.Add(1)-1)%len(d.addresses)]
	ticket := core.Ticket{Generation: demand.Generation, Target: "t1", Address: address}
	if d.engines != nil {
		state, err := d.engines.State(ctx, address)
		if err != nil {
			return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedNoCapacity, Run: core.NotRun}
		}
		ticket.Incarnation = state.Incarnation
	}
	return controlapi.Grant{Ticket: ticket, StartBefore: time.Now().Add(time.Hour)}, nil
}

func startEngine(t *testing.T) (*engineserver.Server, string) {
	t.Helper()
	stand := engineserver.New(engineserver.Options{Model: "m", StepBase: 200 * time.Microsecond, StepPerStream: time.Microsecond, PrefillPerToken: time.Microsecond})
	server := httptest.NewServer(stand)
	t.Cleanup(func() { server.CloseClientConnections(); stand.Close(); server.Close() })
	return stand, server.Listener.Addr().String()
}

// TestStreamsFromAStandInEngine compares what a caller gets among faults of the engine
// with what it gets without.
func TestStreamsFromAStandInEngine(t *testing.T) {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := engine.NewClient(&http.Client{Transport: transport})
	read := func(t *testing.T, order fault.Spec, during bool) (string, bool) {
		first, firstAddress := startEngine(t)
		_, secondAddress := startEngine(t)
		waiting := &standInDesk{addresses: []string{firstAddress, secondAddress}, engines: client}
		waiting.view = testView()
		waiting.view.Catalog.Target("t1").Address = firstAddress
		if order.Kind != "" && !during {
			first.InjectFault(order)
		}
		server := newTestServer(t, waiting, relay.EngineClient{Client: client})
		response := call(t, server, "POST", plainURL, longBody)
		body := io.Reader(response.Body)
		if during {
			begun := make([]byte, 1)
			_, err := io.ReadFull(body, begun)
			require.NoError(t, err)
			first.InjectFault(order)
			body = io.MultiReader(strings.NewReader(string(begun)), body)
		}
		text, ids, done := readEvents(t, body)
		require.Len(t, ids, 40)
		return text, done
	}
	whole, _ := read(t, fault.Spec{}, false)
	for _, c := range []struct {
		order  fault.Spec
		during bool
	}{
		{fault.Spec{Kind: engineserver.FaultDuplicate}, false},
		{fault.Spec{Kind: engineserver.FaultLate}, false},
		{fault.Spec{Kind: engineserver.FaultCrossed}, false},
		{fault.Spec{Kind: engineserver.FaultGap, Every: 5}, false},
		{fault.Spec{Kind: engineserver.FaultCut, Every: 7}, false},
		{fault.Spec{Kind: engineserver.FaultOverloaded}, false},
		{fault.Spec{Kind: engineserver.FaultKill}, true},
		{fault.Spec{Kind: engineserver.FaultExit}, true},
	} {
		t.Run(string(c.order.Kind), func(t *testing.T) {
			text, done := read(t, c.order, c.during)
			require.Equal(t, whole, text)
			require.True(t, done)
		})
	}
}

// TestBookingsAtStandIns sends one booking several times among faults of the platform and
// the service, and asks the service how often it ran.
func TestBookingsAtStandIns(t *testing.T) {
	for _, c := range []struct {
		name     string
		platform fault.Spec
		service  fault.Spec
		statuses []int // of the booking and of its repeats
		runs     string
	}{
		{"no fault", fault.Spec{}, fault.Spec{}, []int{200, 200}, `"k":1`},
		{"platform's answers lost", fault.Spec{Kind: platformserver.FaultLoseAnswer, Count: 1}, fault.Spec{}, []int{200, 200}, `"k":1`},
		{"service's answer lost", fault.Spec{}, fault.Spec{Kind: serviceserver.FaultDie, Count: 1}, []int{502, 502}, ``},
		{"platform down", fault.Spec{Kind: platformserver.FaultDown}, fault.Spec{}, []int{503, 503}, `{}`},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, booking := platformserver.New(platformserver.Options{}), serviceserver.New(serviceserver.Options{})
			tableServer, bookingServer := httptest.NewServer(table), httptest.NewServer(booking)
			t.Cleanup(func() { tableServer.Close(); table.Close(); bookingServer.Close(); booking.Close() })
			order(t, tableServer.URL, c.platform)
			order(t, bookingServer.URL, c.service)
			server := newBookingServer(t, tableServer.Listener.Addr().String(), bookingServer.Listener.Addr().String())
			for _, status := range c.statuses {
				require.Equal(t, status, call(t, server, "POST", "/services/booking/book", "slot 9", "Idempotency-Key", "k").StatusCode)
			}
			response, err := http.Get(bookingServer.URL + "/stand-in/runs")
			require.NoError(t, err)
			defer func() { _ = response.Body.Close() }()
			runs, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Contains(t, string(runs), c.runs)
		})
	}
}

// order asks a stand-in for a fault; the zero order asks for none.
func order(t *testing.T, url string, wanted fault.Spec) {
	t.Helper()
	if wanted.Kind == "" {
		return
	}
	body, err := json.Marshal(wanted)
	require.NoError(t, err)
	response, err := http.Post(url+"/stand-in/fault", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Less(t, response.StatusCode, 300)
}

// newBookingServer returns a host that serves bookings with the given stand-ins.
func newBookingServer(t *testing.T, table, booking string) *httptest.Server {
	t.Helper()
	rows := platform.NewClient(table, time.Second)
	transport := &http.Transport{}
	waiting := &standInDesk{addresses: []string{booking}}
	executor := claims.New(claims.Options{Table: rows, Controller: waiting, Clock: clockwork.NewRealClock(), Backoff: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); executor.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; rows.Close(); transport.CloseIdleConnections() })
	return newTestServer(t, waiting, nil, service.NewClient(&http.Client{Transport: transport}), executor)
}
