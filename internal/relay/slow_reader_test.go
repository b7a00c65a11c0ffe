package relay

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// countedEngines counts the frames that are read from its streams.
type countedEngines struct {
	faultyEngines
	frames atomic.Int64
}

func (e *countedEngines) Start(ctx context.Context, ticket core.Ticket, request engine.Request) (FrameReader, error) {
	reader, err := e.faultyEngines.Start(ctx, ticket, request)
	return &countedReader{FrameReader: reader, frames: &e.frames}, err
}

type countedReader struct {
	FrameReader
	frames *atomic.Int64
}

func (r *countedReader) Next() (engine.Frame, error) {
	r.frames.Add(1)
	return r.FrameReader.Next()
}

// A caller that stops reading causes only a bounded number of frames to be buffered and does
// not delay other callers. It gets its complete answer once it reads again.
func TestSlowReader(t *testing.T) {
	const length, maxAhead = 1000, 8
	synctest.Test(t, func(t *testing.T) {
		resume := make(chan struct{})
		slow, slowEngines := &collector{onToken: func(int) { <-resume }}, &countedEngines{faultyEngines: faultyEngines{length: length}}
		controller, ended := newFakeController(), make(chan struct{})
		go func() { runRequest(controller, slowEngines, slow); close(ended) }()
		synctest.Wait()
		require.LessOrEqual(t, slowEngines.frames.Load(), int64(maxAhead))

		other := &collector{}
		runRequest(controller, &faultyEngines{length: length}, other)
		require.Len(t, other.tokens, length)

		close(resume)
		<-ended
		require.Len(t, slow.tokens, length)
		require.Nil(t, slow.result.Refusal)
	})
}
