package relay

import (
	"context"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

// maxReconnects bounds the connections of one caller.
const maxReconnects = 12

// A caller that disconnects and resumes at other hosts, while connections to engines fail
// and reruns may produce another text, gets each token once, in order, from a single text.
func TestReconnectsWithFaults(t *testing.T) {
	defer goleak.VerifyNone(t)
	rapid.Check(t, func(t *rapid.T) {
		const length = 8
		engines := &faultyEngines{length: length}
		for range rapid.IntRange(0, 12).Draw(t, "connections") {
			engines.faults = append(engines.faults, fault{
				Open:    rapid.SampledFrom([]string{"", "", "", "restarted", "forgotten", "lost"}).Draw(t, "open"),
				Frames:  rapid.IntRange(0, 4).Draw(t, "frames"),
				Repeat:  rapid.Bool().Draw(t, "repeat"),
				Gap:     rapid.IntRange(0, length).Draw(t, "gap"),
				Diverge: max(0, rapid.IntRange(-length, length).Draw(t, "diverge")),
			})
		}
		controller := newFakeController()
		sink := reconnect(t, controller, engines)
		require.True(t, isPrefixOfOneText(sink, length), "tokens of two texts: %v", sink.tokens)
		require.Equal(t, core.Sequence(len(sink.tokens)), sink.result.Delivered)
		require.Equal(t, sink.result.Refusal == nil, len(sink.tokens) == length)
		require.Equal(t, int(controller.granted.Load()), len(controller.closed))
	})
}

// reconnect runs one request with a new relay for each connection of its caller.
func reconnect(t *rapid.T, controller *fakeController, engines Engines) *collector {
	sink, request := &collector{}, &StreamRequest{Rerunnable: true, Resumable: true}
	for n := range maxReconnects {
		sink.leaveAt = 0
		if n < maxReconnects-1 && rapid.Bool().Draw(t, "leaves") {
			sink.leaveAt = len(sink.tokens) + rapid.IntRange(1, 4).Draw(t, "after")
		}
		relay := New(Options{Controller: controller, Engines: engines, Clock: fastTimerClock{clockwork.NewRealClock()}, Metrics: noMetrics{}, Budget: NewRetryBudget()})
		relay.Run(context.Background(), request, sink)
		if sink.result != nil {
			break
		}
		request = &StreamRequest{Rerunnable: true, Resumable: true, Resume: resumePointAfter(sink)}
	}
	return sink
}

// resumePointAfter returns the point at which the caller resumes; nil is the start.
func resumePointAfter(sink *collector) *ResumePoint {
	if len(sink.tokens) == 0 {
		return nil
	}
	last := sink.tokens[len(sink.tokens)-1]
	return &ResumePoint{Generation: last.Generation, Target: last.Target, Incarnation: last.Incarnation, Sequence: last.Sequence, Digest: last.Digest}
}

// isPrefixOfOneText reports whether the tokens are a prefix of one of the texts.
func isPrefixOfOneText(sink *collector, length int) bool {
	for diverge := range length + 1 {
		same := true
		for i, token := range sink.tokens {
			same = same && token.Sequence == core.Sequence(i+1) && token.Text == tokenText(i+1, diverge)
		}
		if same {
			return true
		}
	}
	return false
}
