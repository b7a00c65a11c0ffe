package loadgen

import (
	"context"
	"errors"
	"io"

	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// directSource reads a response directly from an engine and checks that every sequence
// number arrives exactly once and in order.
type directSource struct {
	stream       *engine.Stream
	generation   core.GenerationID
	lastSequence core.Sequence
}

// openDirect starts a generation on an engine.
func openDirect(ctx context.Context, client *engine.Client, address string, options Options, r request) (source, error) {
	generation := core.GenerationID(uuid.New())
	ticket := core.Ticket{Generation: generation, Address: address}
	stream, err := client.Start(ctx, ticket, engine.Request{
		Model:     options.Model,
		Prompt:    r.prompt,
		MaxTokens: options.MaxTokens,
		Seed:      r.seed,
	})
	var rejected *engine.RejectedError
	if errors.As(err, &rejected) {
		return nil, &refusedError{errorType: rejected.Type, run: string(core.NotRun)}
	}
	if err != nil {
		return nil, &brokenError{err: err}
	}
	return &directSource{stream: stream, generation: generation}, nil
}

func (s *directSource) next() (token, error) {
	frame, err := s.stream.Next()
	if err == io.EOF {
		return token{}, io.EOF
	}
	if err != nil {
		return token{}, &brokenError{err: err}
	}
	if sameStream := frame.Generation == s.generation; !sameStream || frame.Sequence != s.lastSequence+1 {
		return token{}, &sequenceError{want: uint64(s.lastSequence + 1), got: uint64(frame.Sequence), sameStream: sameStream}
	}
	s.lastSequence = frame.Sequence
	return token{text: frame.Text, reason: frame.FinishReason}, nil
}

func (s *directSource) close() { _ = s.stream.Close() } // the outcome of the response is already known
