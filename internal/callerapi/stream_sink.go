package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// writeTimeout bounds the time for which a caller may not read before it counts as gone.
const writeTimeout = 30 * time.Second

// deadlineSlack is how much of writeTimeout may pass before the deadline is set anew, so
// that it is not set for every token.
const deadlineSlack = 5 * time.Second

// streamSink writes an answer as server-sent events. A refusal before the first event is
// kept for the handler, which can still give it an HTTP status.
type streamSink struct {
	front    *Front
	from     *caller
	asked    *generation
	writer   http.ResponseWriter
	control  *http.ResponseController
	encoder  *relay.EventIDEncoder
	created  int64
	head     []byte // what every chunk begins with, up to the text
	buffer   []byte // reused for every event
	prompt   core.Tokens
	deadline time.Time
	started  bool
	refusal  *core.Refusal
}

func (f *Front) newStreamSink(w http.ResponseWriter, from *caller, asked *generation) *streamSink {
	return &streamSink{
		front:   f,
		from:    from,
		asked:   asked,
		writer:  w,
		control: http.NewResponseController(w),
		encoder: relay.NewEventIDEncoder(f.options.EventKey, from.team),
		created: f.options.Clock.Now().Unix(),
		prompt:  core.Tokens(len(asked.request.Prompt)/bytesPerToken + 1),
	}
}

// Token implements relay.Sink.
func (s *streamSink) Token(token relay.Token) error {
	if s.head == nil {
		s.head = s.chunkHead(token.Generation)
	}
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = s.encoder.Append(s.buffer, relay.EventID{
		Generation:  token.Generation,
		Target:      token.Target,
		Incarnation: token.Incarnation,
		Seed:        s.asked.request.Seed,
		RequestHash: s.asked.hash,
		Sequence:    token.Sequence,
		Digest:      token.Digest,
		Chat:        s.asked.chat,
		Final:       token.FinishReason != "",
	})
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, s.head...)
	s.buffer = s.appendChoice(s.buffer, token)
	s.buffer = append(s.buffer, "}]}\n\n"...)
	return s.flush()
}

// chunkHead returns the beginning of every chunk. The answer keeps the identifier of the
// generation that gave its first token.
func (s *streamSink) chunkHead(generation core.GenerationID) []byte {
	prefix, object := "cmpl-", "text_completion"
	if s.asked.chat {
		prefix, object = "chatcmpl-", "chat.completion.chunk"
	}
	model := appendJSONString(nil, string(s.asked.request.Model))
	return fmt.Appendf(nil, `{"id":"%s%s","object":"%s","created":%d,"model":%s,"choices":[{"index":0,`, prefix, generation, object, s.created, model)
}

func (s *streamSink) appendChoice(dst []byte, token relay.Token) []byte {
	switch {
	case !s.asked.chat:
		dst = append(dst, `"text":`...)
		dst = appendJSONString(dst, token.Text)
	case token.Sequence == 1:
		dst = append(dst, `"delta":{"role":"assistant","content":`...)
		dst = append(appendJSONString(dst, token.Text), '}')
	default:
		dst = append(dst, `"delta":{"content":`...)
		dst = append(appendJSONString(dst, token.Text), '}')
	}
	if token.FinishReason == "" {
		return append(dst, `,"finish_reason":null`...)
	}
	dst = append(dst, `,"finish_reason":`...)
	return appendJSONString(dst, token.FinishReason)
}

// KeepAlive implements relay.Sink.
func (s *streamSink) KeepAlive() error {
	s.buffer = append(s.buffer[:0], ": keep-alive\n\n"...)
	return s.flush()
}

// End implements relay.Sink.
func (s *streamSink) End(ending relay.StreamResult) {
	if ending.Refusal != nil && !s.started {
		s.refusal = ending.Refusal
		return
	}
	s.buffer = s.buffer[:0]
	if ending.Refusal != nil {
		s.appendFailure(ending)
	} else {
		s.appendEnd(ending)
	}
	_ = s.flush()                               // the stream has ended, whether or not the caller still reads
	_ = s.control.SetWriteDeadline(time.Time{}) // the connection may serve another request
}

func (s *streamSink) appendFailure(ending relay.StreamResult) {
	s.front.note(s.from, ending.Refusal)
	detail := detailOf(ending.Refusal)
	detail.Delivered = &ending.Delivered
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
}

func (s *streamSink) appendEnd(ending relay.StreamResult) {
	if s.asked.includeUsage {
		usage := newUsage(s.prompt, core.Tokens(ending.Delivered))
		s.buffer = fmt.Appendf(s.buffer, `data: {"object":"usage","created":%d,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n",
			s.created, usage.PromptTokens, usage.CompletionTokens, usage.TotalTokens)
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
}

// flush writes the buffer as one piece and pushes it to the caller.
func (s *streamSink) flush() error {
	if !s.started {
		s.started = true
		header := s.writer.Header()
		header.Set("Content-Type", "text/event-stream")
		header.Set("Cache-Control", "no-store")
		s.writer.WriteHeader(http.StatusOK)
	}
	s.extendDeadline()
	if _, err := s.writer.Write(s.buffer); err != nil {
		return fmt.Errorf("write event: %w", err)
	}
	if err := s.control.Flush(); err != nil {
		return fmt.Errorf("flush event: %w", err)
	}
	return nil
}

func (s *streamSink) extendDeadline() {
	now := time.Now() // the connection's deadline is in real time
	if s.deadline.Sub(now) > writeTimeout-deadlineSlack {
		return
	}
	s.deadline = now.Add(writeTimeout)
	_ = s.control.SetWriteDeadline(s.deadline) // a recorder in a test has no deadline
}
