package callerapi

import (
	"strings"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// wholeSink collects an answer that is given in one piece. Its size is bounded by the
// model's longest output.
type wholeSink struct {
	generation core.GenerationID
	text       strings.Builder
	reason     string
	delivered  core.Sequence
	refusal    *core.Refusal
	ended      bool
}

// Token implements relay.Sink.
func (s *wholeSink) Token(token relay.Token) error {
	if token.Sequence == 1 {
		s.generation = token.Generation
	}
	s.text.WriteString(token.Text)
	s.reason = token.FinishReason
	return nil
}

// KeepAlive implements relay.Sink.
func (s *wholeSink) KeepAlive() error { return nil }

// End implements relay.Sink.
func (s *wholeSink) End(ending relay.StreamResult) {
	s.ended = true
	s.delivered = ending.Delivered
	s.refusal = ending.Refusal
}
