package loadgen

import (
	"context"
	"errors"
	"io"

	"github.com/google/uuid"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
)

// directSource reads an answer from an engine and checks that its sequence numbers come
// exactly once and in order.
type directSource struct {
	stream     *engine.Stream
	generation core.GenerationID
	last       core.Sequence
}

// openDirect starts a generation at an engine.
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
		return nil, &refusedError{kind: rejected.Type, run: string(core.NotRun)}
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
	if own := frame.Generation == s.generation; !own || frame.Sequence != s.last+1 {
		return token{}, &sequenceError{want: uint64(s.last + 1), got: uint64(frame.Sequence), own: own}
	}
	s.last = frame.Sequence
	return token{text: frame.Text, reason: frame.FinishReason}, nil
}

func (s *directSource) close() { _ = s.stream.Close() } // the answer has been judged already
