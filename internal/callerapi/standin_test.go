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

const longStreamRequestBody = `{"model":"m","prompt":"draft [[length=40]]","seed":7,"stream":true}`

// standInController grants tickets for its addresses in turn. A ticket for an engine has the
// engine's current incarnation.
type standInController struct {
	fakeController
	addresses []string
	engines   *engine.Client // nil for plain services
}

func (c *standInController) Acquire(ctx context.Context, request core.TicketRequest) (controlapi.Grant, error) {
	address := c.addresses[int(c.granted.Add(1)-1)%len(c.addresses)]
	ticket := core.Ticket{Generation: request.Generation, Target: "t1", Address: address}
	if c.engines != nil {
		state, err := c.engines.State(ctx, address)
		if err != nil {
			return controlapi.Grant{}, &core.Refusal{Kind: core.RefusedNoCapacity, Run: core.NotRun}
		}
		ticket.Incarnation = state.Incarnation
	}
	return controlapi.Grant{Ticket: ticket, StartBefore: time.Now().Add(time.Hour)}, nil
}

func startEngine(t *testing.T) (*engineserver.Server, string) {
	t.Helper()
	standIn := engineserver.New(engineserver.Options{Model: "m", StepBase: 200 * time.Microsecond, StepPerStream: time.Microsecond, PrefillPerToken: time.Microsecond})
	server := httptest.NewServer(standIn)
	t.Cleanup(func() { server.CloseClientConnections(); standIn.Close(); server.Close() })
	return standIn, server.Listener.Addr().String()
}

// TestStreamSurvivesEngineFaults guards against lost, repeated or wrong tokens when an engine
// has a fault: the text must be the same as without the fault.
func TestStreamSurvivesEngineFaults(t *testing.T) {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := engine.NewClient(&http.Client{Transport: transport})
	readStream := func(t *testing.T, spec fault.Spec, during bool) (string, bool) {
		first, firstAddress := startEngine(t)
		_, secondAddress := startEngine(t)
		controller := &standInController{addresses: []string{firstAddress, secondAddress}, engines: client}
		controller.view = testView()
		controller.view.Catalog.Target("t1").Address = firstAddress
		if spec.Kind != "" && !during {
			first.InjectFault(spec)
		}
		server := newTestServer(t, controller, relay.EngineClient{Client: client})
		response := call(t, server, "POST", completionsURL, longStreamRequestBody)
		body := io.Reader(response.Body)
		if during {
			firstByte := make([]byte, 1)
			_, err := io.ReadFull(body, firstByte)
			require.NoError(t, err)
			first.InjectFault(spec)
			body = io.MultiReader(strings.NewReader(string(firstByte)), body)
		}
		text, ids, done := readEvents(t, body)
		require.Len(t, ids, 40)
		return text, done
	}
	expected, _ := readStream(t, fault.Spec{}, false)
	for _, c := range []struct {
		spec   fault.Spec
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
		t.Run(string(c.spec.Kind), func(t *testing.T) {
			text, done := readStream(t, c.spec, c.during)
			require.Equal(t, expected, text)
			require.True(t, done)
		})
	}
}

// TestBookingRunsAtMostOnce guards against a booking that runs twice: it is sent twice with
// the same key during a fault of the platform or the service.
func TestBookingRunsAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		name     string
		platform fault.Spec
		service  fault.Spec
		statuses []int // of the booking and of its repetition
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
			injectFault(t, tableServer.URL, c.platform)
			injectFault(t, bookingServer.URL, c.service)
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

// injectFault injects a fault into a stand-in. The zero Spec has no effect.
func injectFault(t *testing.T, url string, spec fault.Spec) {
	t.Helper()
	if spec.Kind == "" {
		return
	}
	body, err := json.Marshal(spec)
	require.NoError(t, err)
	response, err := http.Post(url+"/stand-in/fault", "application/json", bytes.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Less(t, response.StatusCode, 300)
}

// newBookingServer returns a server that forwards bookings to the given stand-ins.
func newBookingServer(t *testing.T, table, booking string) *httptest.Server {
	t.Helper()
	rows := platform.NewClient(table, time.Second)
	transport := service.NewTransport()
	controller := &standInController{addresses: []string{booking}}
	executor := claims.New(claims.Options{Table: rows, Controller: controller, Clock: clockwork.NewRealClock(), Backoff: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { defer close(ended); executor.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-ended; rows.Close(); transport.CloseIdleConnections() })
	return newTestServer(t, controller, nil, service.NewClient(&http.Client{Transport: transport}), executor)
}
