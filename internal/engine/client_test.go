package engine

import (
	"io"
	"net/http"
	"net/http/httptest"
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

// fixture is a stand-in engine with a client.
type fixture struct {
	standIn *engineserver.Server
	address string
	client  *Client
}

// start runs a stand-in engine with short steps.
func start(t *testing.T, options engineserver.Options) fixture {
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
	return fixture{standIn, server.Listener.Addr().String(), NewClient(&http.Client{Transport: transport})}
}

// ticket returns a ticket for the n-th generation.
func (f fixture) ticket(n byte) core.Ticket {
	return core.Ticket{Generation: core.GenerationID{15: n}, Address: f.address, Incarnation: "e-1"}
}

// open starts the n-th generation.
func (f fixture) open(t *testing.T, n byte, prompt string) *Stream {
	t.Helper()
	s, err := f.client.Start(t.Context(), f.ticket(n), Request{Model: "m", Prompt: prompt, Seed: 7})
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() }) // closing twice is allowed
	return s
}

// startAndRead starts a generation and reads it to its end.
func (f fixture) startAndRead(t *testing.T, n byte, request Request) []Frame {
	t.Helper()
	s, err := f.client.Start(t.Context(), f.ticket(n), request)
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

func TestGenerationIsDeterministic(t *testing.T) {
	one, other := start(t, engineserver.Options{}), start(t, engineserver.Options{})
	request := Request{Model: "m", Prompt: shortAnswer, Seed: 7}
	frames := one.startAndRead(t, 1, request)
	require.Equal(t, upTo(1, 20), sequences(frames, one.ticket(1).Generation))
	require.Equal(t, "stop", frames[19].FinishReason)
	require.Equal(t, texts(frames), texts(other.startAndRead(t, 2, request)))

	request.MaxTokens = 5
	bounded := one.startAndRead(t, 3, request)
	require.Equal(t, "length", bounded[4].FinishReason)
	require.Equal(t, texts(frames)[:5], texts(bounded))

	other.standIn.InjectFault(fault.Spec{Kind: engineserver.FaultNondeterministic})
	request.MaxTokens = 0
	require.NotEqual(t, texts(frames), texts(other.startAndRead(t, 4, request)))
}

func TestDeliveryFaults(t *testing.T) {
	cases := map[string]struct {
		order  fault.Spec
		check  func(t *testing.T, own []int, foreign int)
		broken bool
	}{
		"duplicate": {order: fault.Spec{Kind: engineserver.FaultDuplicate}, check: func(t *testing.T, own []int, _ int) {
			require.Greater(t, len(own), 20)
			require.IsNonDecreasing(t, own)
		}},
		"late": {order: fault.Spec{Kind: engineserver.FaultLate, Every: 10}, check: func(t *testing.T, own []int, _ int) {
			require.Greater(t, len(own), 20)
			require.Subset(t, own, upTo(1, 20))
		}},
		"crossed": {order: fault.Spec{Kind: engineserver.FaultCrossed}, check: func(t *testing.T, own []int, foreign int) {
			require.Equal(t, upTo(1, 20), own)
			require.Positive(t, foreign)
		}},
		"gap": {order: fault.Spec{Kind: engineserver.FaultGap, Count: 1}, check: func(t *testing.T, own []int, _ int) {
			require.Len(t, own, 19)
		}},
		"stall": {order: fault.Spec{Kind: engineserver.FaultStall, DelayMS: 1, Count: 1}, check: func(t *testing.T, own []int, _ int) {
			require.Equal(t, upTo(1, 20), own)
		}},
		"cut": {order: fault.Spec{Kind: engineserver.FaultCut, Every: 10}, broken: true, check: func(t *testing.T, own []int, _ int) {
			require.Less(t, len(own), 20)
		}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t, engineserver.Options{})
			if c.order.Kind == engineserver.FaultCrossed {
				_, err := f.open(t, 1, endlessAnswer).Next()
				require.NoError(t, err)
			}
			f.standIn.InjectFault(c.order)
			frames, err := readAll(f.open(t, 2, shortAnswer))
			var broken *BrokenStreamError
			if c.broken {
				require.ErrorAs(t, err, &broken)
			} else {
				require.Equal(t, io.EOF, err)
			}
			own := sequences(frames, f.ticket(2).Generation)
			c.check(t, own, len(frames)-len(own))
		})
	}
}

func TestEngineLostMidStream(t *testing.T) {
	for _, kind := range []fault.Kind{engineserver.FaultKill, engineserver.FaultExit} {
		t.Run(string(kind), func(t *testing.T) {
			f := start(t, engineserver.Options{})
			s := f.open(t, 1, endlessAnswer)
			first, err := s.Next()
			require.NoError(t, err)
			require.Equal(t, core.Sequence(1), first.Sequence)
			f.standIn.InjectFault(fault.Spec{Kind: kind})
			_, err = readAll(s)
			var broken *BrokenStreamError
			require.ErrorAs(t, err, &broken)
			_, err = f.client.Start(t.Context(), f.ticket(2), Request{Model: "m", Prompt: "x"})
			if kind == engineserver.FaultExit {
				require.ErrorAs(t, err, &broken)
				return
			}
			require.Equal(t, &IncarnationError{Expected: "e-1", Running: "e-2"}, err)
		})
	}
}

func TestResume(t *testing.T) {
	f := start(t, engineserver.Options{})
	generation := f.ticket(1).Generation
	s := f.open(t, 1, shortAnswer)
	_, err := s.Next()
	require.NoError(t, err)
	require.NoError(t, s.Close())
	for _, after := range []core.Sequence{0, 1, 20} {
		again, err := f.client.Resume(t.Context(), f.address, generation, after, "e-1")
		require.NoError(t, err)
		frames, err := readAll(again)
		require.Equal(t, io.EOF, err)
		require.NoError(t, again.Close())
		require.Equal(t, upTo(int(after)+1, 20), sequences(frames, generation))
	}
	_, err = f.client.Resume(t.Context(), f.address, core.GenerationID{}, 0, "e-1")
	require.Equal(t, &RejectedError{Status: 404, Type: "unknown_stream"}, err)
	_, err = f.client.Resume(t.Context(), f.address, generation, 0, "e-0")
	require.Equal(t, &IncarnationError{Expected: "e-0", Running: "e-1"}, err)
}
