package callerapi

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/relay"
)

// divergingEngines loses the first stream after its second token and gives another text
// to the second one.
type divergingEngines struct {
	fakeEngines
	starts atomic.Int64
}

func (e *divergingEngines) Start(ctx context.Context, ticket core.Ticket, request engine.Request) (relay.FrameReader, error) {
	texts := map[int64][]string{1: {"a ", "b "}, 2: {"a ", "x ", "y"}, 3: {"a ", "b ", "c"}}
	n := e.starts.Add(1)
	reader := &fakeReader{ctx: ctx, engines: &fakeEngines{tokens: texts[n]}, generation: ticket.Generation}
	if n == 1 {
		return &unfinishedReader{reader}, nil
	}
	return reader, nil
}

func (e *divergingEngines) Resume(context.Context, string, core.GenerationID, core.Sequence, core.Incarnation) (relay.FrameReader, error) {
	return nil, &engine.IncarnationError{}
}

// unfinishedReader gives no final frame.
type unfinishedReader struct{ *fakeReader }

func (r *unfinishedReader) Next() (engine.Frame, error) {
	frame, err := r.fakeReader.Next()
	frame.FinishReason = ""
	return frame, err
}

// A caller that waits for the whole answer gets one although the rerun differed; a caller
// that has seen tokens gets a typed end.
func TestDivergedRerun(t *testing.T) {
	desk := &fakeDesk{}
	server := newTestServer(t, desk, &divergingEngines{})
	var body answerBody
	require.NoError(t, json.NewDecoder(call(t, server, "POST", plainURL, `{"model":"m","prompt":"p"}`).Body).Decode(&body))
	require.Equal(t, "a b c", *body.Choices[0].Text)
	require.Equal(t, 3, len(desk.closed))

	server = newTestServer(t, &fakeDesk{}, &divergingEngines{})
	streamed := readAll(t, call(t, server, "POST", plainURL, plainBody))
	require.Contains(t, streamed, `event: error`)
	require.Contains(t, streamed, `"type":"generation_diverged"`)
	require.Contains(t, streamed, `"delivered_tokens":2`)
	require.NotContains(t, streamed, "[DONE]")
}
