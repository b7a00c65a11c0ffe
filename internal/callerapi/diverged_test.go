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

// divergingEngines breaks the first stream after its second token. The rerun has another
// second token, and the third start repeats the first text to its end.
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

// unfinishedReader clears the finish reason, so that its stream ends without a final frame.
type unfinishedReader struct{ *fakeReader }

func (r *unfinishedReader) Next() (engine.Frame, error) {
	frame, err := r.fakeReader.Next()
	frame.FinishReason = ""
	return frame, err
}

// TestDivergedRerun guards against output that is mixed from two texts when a rerun of a
// generation diverges. A non-streaming request is started again and gets a complete
// response; a stream, whose caller has already received tokens, ends with the error
// generation_diverged.
func TestDivergedRerun(t *testing.T) {
	controller := &fakeController{}
	server := newTestServer(t, controller, &divergingEngines{})
	var body completionResponse
	require.NoError(t, json.NewDecoder(call(t, server, "POST", completionsURL, `{"model":"m","prompt":"p"}`).Body).Decode(&body))
	require.Equal(t, "a b c", *body.Choices[0].Text)
	require.Equal(t, 3, len(controller.closed))

	server = newTestServer(t, &fakeController{}, &divergingEngines{})
	streamed := readAll(t, call(t, server, "POST", completionsURL, streamRequestBody))
	require.Contains(t, streamed, `event: error`)
	require.Contains(t, streamed, `"type":"generation_diverged"`)
	require.Contains(t, streamed, `"delivered_tokens":2`)
	require.NotContains(t, streamed, "[DONE]")
}
