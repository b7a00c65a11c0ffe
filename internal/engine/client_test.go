package engine

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/tools/standin/engine/engineserver"
	"siskintide.example/siskintide/tools/standin/fault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const (
	shortAnswer   = "brief [[length=20]]"
	endlessAnswer = "brief [[length=999999]]"
)

// bench is one stand-in with a client.
type bench struct {
	standIn *engineserver.Server
	address string
	client  *Client
}

// start runs a stand-in with short steps.
func start(t *testing.T, options engineserver.Options) bench {
	t.Helper()
	options.Name = "e"
	options.Model = "m"
	if options.StepBase == 0 {
		options.StepBase = 100 * time.Microsecond
		options.StepPerStream = time.Microsecond
		options.PrefillPerToken = time.Nanosecond
	}
	standIn := engineserver.New(options)
	server := httptest.NewServer(standIn)
	transport := &http.Transport{}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		standIn.Close()
		server.Close()
	})
	return bench{standIn, server.Listener.Addr().String(), NewClient(&http.Client{Transport: transport})}
}

// ticket returns a ticket for the n-th generation.
func (b bench) ticket(n byte) core.Ticket {
	return core.Ticket{Generation: core.GenerationID{15: n}, Address: b.address, Incarnation: "e-1"}
}

// open starts the n-th generation.
func (b bench) open(t *testing.T, n byte, prompt string) *Stream {
	t.Helper()
	s, err := b.client.Start(t.Context(), b.ticket(n), Request{Model: "m", Prompt: prompt, Seed: 7})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() }) // a second close does no harm
	return s
}

// whole starts a generation and reads it to its end.
func (b bench) whole(t *testing.T, n byte, request Request) []Frame {
	t.Helper()
	s, err := b.client.Start(t.Context(), b.ticket(n), request)
	require.NoError(t, err)
	frames, err := readAll(s)
	require.Equal(t, io.EOF, err)
	require.NoError(t, s.Close())
	return frames
}

func sequences(frames []Frame, generation core.GenerationID) []int {
	var numbers []int
	for _, frame := range frames {
		if frame.Generation == generation {
			numbers = append(numbers, int(frame.Sequence))
		}
	}
	return numbers
}

func upTo(first, last int) []int {
	var numbers []int
	for n := first; n <= last; n++ {
		numbers = append(numbers, n)
	}
	return numbers
}

func texts(frames []Frame) []string {
	var all []string
	for _, frame := range frames {
		all = append(all, frame.Text)
	}
	return all
}

func TestAnswersAreTheSameEverywhere(t *testing.T) {
	one, other := start(t, engineserver.Options{}), start(t, engineserver.Options{})
	request := Request{Model: "m", Prompt: shortAnswer, Seed: 7}
	frames := one.whole(t, 1, request)
	require.Equal(t, upTo(1, 20), sequences(frames, one.ticket(1).Generation))
	require.Equal(t, "stop", frames[19].FinishReason)
	require.Equal(t, texts(frames), texts(other.whole(t, 2, request)))

	request.MaxTokens = 5
	bounded := one.whole(t, 3, request)
	require.Equal(t, "length", bounded[4].FinishReason)
	require.Equal(t, texts(frames)[:5], texts(bounded))

	other.standIn.Fault(fault.Order{Kind: engineserver.FaultNondeterministic})
	request.MaxTokens = 0
	require.NotEqual(t, texts(frames), texts(other.whole(t, 4, request)))
}

func TestFaultsOfDelivery(t *testing.T) {
	cases := map[string]struct {
		order  fault.Order
		check  func(t *testing.T, own []int, foreign int)
		broken bool
	}{
		"duplicate": {order: fault.Order{Kind: engineserver.FaultDuplicate}, check: func(t *testing.T, own []int, _ int) {
			require.Greater(t, len(own), 20)
			require.IsNonDecreasing(t, own)
		}},
		"late": {order: fault.Order{Kind: engineserver.FaultLate, Every: 10}, check: func(t *testing.T, own []int, _ int) {
			require.Greater(t, len(own), 20)
			require.Subset(t, own, upTo(1, 20))
		}},
		"crossed": {order: fault.Order{Kind: engineserver.FaultCrossed}, check: func(t *testing.T, own []int, foreign int) {
			require.Equal(t, upTo(1, 20), own)
			require.Positive(t, foreign)
		}},
		"gap": {order: fault.Order{Kind: engineserver.FaultGap, Count: 1}, check: func(t *testing.T, own []int, _ int) {
			require.Len(t, own, 19)
		}},
		"stall": {order: fault.Order{Kind: engineserver.FaultStall, DelayMS: 1, Count: 1}, check: func(t *testing.T, own []int, _ int) {
			require.Equal(t, upTo(1, 20), own)
		}},
		"cut": {order: fault.Order{Kind: engineserver.FaultCut, Every: 10}, broken: true, check: func(t *testing.T, own []int, _ int) {
			require.Less(t, len(own), 20)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b := start(t, engineserver.Options{})
			if c.order.Kind == engineserver.FaultCrossed {
				_, err := b.open(t, 1, endlessAnswer).Next()
				require.NoError(t, err)
			}
			b.standIn.Fault(c.order)
			frames, err := readAll(b.open(t, 2, shortAnswer))
			var broken *BrokenStreamError
			if c.broken {
				require.ErrorAs(t, err, &broken)
			} else {
				require.Equal(t, io.EOF, err)
			}
			own := sequences(frames, b.ticket(2).Generation)
			c.check(t, own, len(frames)-len(own))
		})
	}
}

func TestRefusals(t *testing.T) {
	b := start(t, engineserver.Options{MemoryTokens: 100})
	running := b.open(t, 1, shortAnswer)
	_, err := readAll(running)
	require.Equal(t, io.EOF, err)
	stale := b.ticket(2)
	stale.Incarnation = "e-0"
	long := Request{Model: "m", Prompt: string(make([]byte, 500))}
	cases := map[string]struct {
		ticket  core.Ticket
		request Request
		want    error
	}{
		"unknown model":       {b.ticket(2), Request{Model: "other", Prompt: "x"}, &RejectedError{Status: 404, Type: "unknown_model"}},
		"other incarnation":   {stale, Request{Model: "m", Prompt: "x"}, &IncarnationError{Expected: "e-0", Running: "e-1"}},
		"prompt over memory":  {b.ticket(2), long, &RejectedError{Status: 413, Type: "too_large"}},
		"generation is known": {b.ticket(1), Request{Model: "m", Prompt: "x"}, &RejectedError{Status: 400, Type: "duplicate_request"}},
	}
	for name, c := range cases {
		_, err := b.client.Start(t.Context(), c.ticket, c.request)
		require.Equal(t, c.want, err, name)
	}
	b.standIn.Fault(fault.Order{Kind: engineserver.FaultOverloaded})
	_, err = b.client.Start(t.Context(), b.ticket(2), Request{Model: "m", Prompt: "x"})
	require.Equal(t, &RejectedError{Status: 503, Type: "overloaded"}, err)
}

func TestStartThatCannotBeSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())
	client := NewClient(&http.Client{Transport: &http.Transport{}})
	_, err = client.Start(t.Context(), core.Ticket{Address: listener.Addr().String()}, Request{})
	var unsent *UnsentError
	require.ErrorAs(t, err, &unsent)
	require.ErrorAs(t, client.Cancel(t.Context(), listener.Addr().String(), core.GenerationID{}), &unsent)
}

func TestEngineThatIgnoresTheExpectedIncarnation(t *testing.T) {
	careless := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(headerIncarnation, "e-2")
	}))
	defer careless.Close()
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	ticket := core.Ticket{Address: careless.Listener.Addr().String(), Incarnation: "e-1"}
	_, err := client.Start(t.Context(), ticket, Request{})
	require.Equal(t, &IncarnationError{Expected: "e-1", Running: "e-2"}, err)
}

func TestStartWhoseAnswerIsLost(t *testing.T) {
	cut := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }))
	defer cut.Close()
	client := NewClient(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}})
	_, err := client.Start(t.Context(), core.Ticket{Address: cut.Listener.Addr().String()}, Request{})
	var broken *BrokenStreamError
	require.ErrorAs(t, err, &broken)
}

func TestStartAtAFrozenEngine(t *testing.T) {
	b := start(t, engineserver.Options{})
	b.standIn.Fault(fault.Order{Kind: engineserver.FaultFreeze})
	wrote := make(chan struct{})
	trace := &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) { close(wrote) }}
	ctx, cancel := context.WithCancel(httptrace.WithClientTrace(t.Context(), trace))
	failure := make(chan error, 1)
	go func() {
		_, err := b.client.Start(ctx, b.ticket(1), Request{Model: "m", Prompt: shortAnswer})
		failure <- err
	}()
	<-wrote
	cancel()
	var broken *BrokenStreamError
	require.ErrorAs(t, <-failure, &broken)
	b.standIn.Fault(fault.Order{Kind: fault.Clear})
	b.whole(t, 2, Request{Model: "m", Prompt: shortAnswer})
}

func TestEngineLostInTheMiddle(t *testing.T) {
	for _, kind := range []fault.Kind{engineserver.FaultKill, engineserver.FaultExit} {
		t.Run(string(kind), func(t *testing.T) {
			b := start(t, engineserver.Options{})
			s := b.open(t, 1, endlessAnswer)
			first, err := s.Next()
			require.NoError(t, err)
			require.Equal(t, core.Sequence(1), first.Sequence)
			b.standIn.Fault(fault.Order{Kind: kind})
			_, err = readAll(s)
			var broken *BrokenStreamError
			require.ErrorAs(t, err, &broken)
			_, err = b.client.Start(t.Context(), b.ticket(2), Request{Model: "m", Prompt: "x"})
			if kind == engineserver.FaultExit {
				require.ErrorAs(t, err, &broken)
				return
			}
			require.Equal(t, &IncarnationError{Expected: "e-1", Running: "e-2"}, err)
		})
	}
}

func TestResume(t *testing.T) {
	b := start(t, engineserver.Options{})
	generation := b.ticket(1).Generation
	s := b.open(t, 1, shortAnswer)
	_, err := s.Next()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	for _, after := range []core.Sequence{0, 1, 20} {
		again, err := b.client.Resume(t.Context(), b.address, generation, after, "e-1")
		require.NoError(t, err)
		frames, err := readAll(again)
		require.Equal(t, io.EOF, err)
		require.NoError(t, again.Close())
		require.Equal(t, upTo(int(after)+1, 20), sequences(frames, generation))
	}
	_, err = b.client.Resume(t.Context(), b.address, core.GenerationID{}, 0, "e-1")
	require.Equal(t, &RejectedError{Status: 404, Type: "unknown_stream"}, err)
	_, err = b.client.Resume(t.Context(), b.address, generation, 0, "e-0")
	require.Equal(t, &IncarnationError{Expected: "e-0", Running: "e-1"}, err)
}

func TestCancelAndLoad(t *testing.T) {
	b := start(t, engineserver.Options{})
	s := b.open(t, 1, endlessAnswer)
	_, err := s.Next()
	require.NoError(t, err)
	report, err := b.client.Load(t.Context(), "t", b.address)
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
	report, err = b.client.Load(t.Context(), "t", b.address)
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
	page, err := b.client.Cache(t.Context(), b.address, 1)
	require.NoError(t, err)
	kinds := []CacheEventKind{}
	for _, event := range page.Events {
		kinds = append(kinds, event.Kind)
	}
	require.Equal(t, []CacheEventKind{CacheStored, CacheStored, CacheFlushed}, kinds)
	require.Equal(t, uint64(5), page.Next)
	require.NotEqual(t, page.Events[0].Prefix, page.Events[1].Prefix)
}
