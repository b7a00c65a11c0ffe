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

// maxReconnects bounds how often the caller of a schedule comes back.
const maxReconnects = 12

// A caller that leaves and comes back to other hosts, while connections fail and reruns
// may give another text, has each token once, in order, from a single text.
func TestReconnectsAmongFaults(t *testing.T) {
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
		desk := newTicketDesk()
		sink := reconnect(t, desk, engines)
		require.True(t, ofOneText(sink, length), "tokens of two texts: %v", sink.tokens)
		require.Equal(t, core.Sequence(len(sink.tokens)), sink.ending.Delivered)
		require.Equal(t, sink.ending.Refusal == nil, len(sink.tokens) == length)
		require.Equal(t, int(desk.granted.Load()), len(desk.closed))
	})
}

// reconnect runs one request over as many hosts as its caller comes back to.
func reconnect(t *rapid.T, desk *ticketDesk, engines Engines) *collector {
	sink, job := &collector{}, &StreamRequest{Rerunnable: true, Resumable: true}
	for n := range maxReconnects {
		sink.leave = 0
		if n < maxReconnects-1 && rapid.Bool().Draw(t, "leaves") {
			sink.leave = len(sink.tokens) + rapid.IntRange(1, 4).Draw(t, "after")
		}
		relay := New(Options{Controller: desk, Engines: engines, Clock: quickClock{clockwork.NewRealClock()}, Metrics: noMetrics{}, Budget: NewRetryBudget()})
		relay.Run(context.Background(), job, sink)
		if sink.ending != nil {
			break
		}
		job = &StreamRequest{Rerunnable: true, Resumable: true, Resume: positionAfter(sink)}
	}
	return sink
}

// positionAfter returns where a caller that comes back goes on; nil is the start.
func positionAfter(sink *collector) *ResumePoint {
	if len(sink.tokens) == 0 {
		return nil
	}
	last := sink.tokens[len(sink.tokens)-1]
	return &ResumePoint{Generation: last.Generation, Target: last.Target, Incarnation: last.Incarnation, Sequence: last.Sequence, Digest: last.Digest}
}

// ofOneText reports whether the tokens are the beginning of one of the texts.
func ofOneText(sink *collector, length int) bool {
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
