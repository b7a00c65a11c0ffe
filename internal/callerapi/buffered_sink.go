package callerapi

import (
	"strings"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// bufferedSink collects the text of a non-streaming response. Its size is limited by the
// maximum output of the model.
type bufferedSink struct {
	generation   core.GenerationID
	text         strings.Builder
	finishReason string
	delivered    core.Sequence
	refusal      *core.Refusal
	ended        bool
}

// Token implements relay.Sink.
func (s *bufferedSink) Token(token relay.Token) error {
	if token.Sequence == 1 {
		s.generation = token.Generation
	}
	s.text.WriteString(token.Text)
	s.finishReason = token.FinishReason
	return nil
}

// KeepAlive implements relay.Sink.
func (s *bufferedSink) KeepAlive() error { return nil }

// End implements relay.Sink.
func (s *bufferedSink) End(result relay.StreamResult) {
	s.ended = true
	s.delivered = result.Delivered
	s.refusal = result.Refusal
}
