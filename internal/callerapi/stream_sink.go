package callerapi

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/relay"
)

// writeTimeout limits a write to a caller that does not read. After it, the caller counts
// as disconnected.
const writeTimeout = 30 * time.Second

// deadlineSlack is the part of writeTimeout that may pass before the write deadline is
// extended, so that it is not set for every token.
const deadlineSlack = 5 * time.Second

// streamSink writes a generation as server-sent events. A refusal before the first event
// is stored for the handler, which can still send it with an HTTP status.
type streamSink struct {
	handler      *Handler
	from         *caller
	request      *generationRequest
	writer       http.ResponseWriter
	control      *http.ResponseController
	encoder      *relay.EventIDEncoder
	created      int64
	chunkHeader  []byte // common beginning of all chunks
	buffer       []byte // reused for every event
	promptTokens core.Tokens
	deadline     time.Time
	started      bool
	refusal      *core.Refusal
}

func (h *Handler) newStreamSink(w http.ResponseWriter, from *caller, req *generationRequest) *streamSink {
	return &streamSink{
		handler:      h,
		from:         from,
		request:      req,
		writer:       w,
		control:      http.NewResponseController(w),
		encoder:      relay.NewEventIDEncoder(h.options.EventKey, from.team),
		created:      h.options.Clock.Now().Unix(),
		promptTokens: core.Tokens(len(req.engineRequest.Prompt)/bytesPerToken + 1),
	}
}

// Token implements relay.Sink.
func (s *streamSink) Token(token relay.Token) error {
	if s.chunkHeader == nil {
		s.chunkHeader = s.newChunkHeader(token.Generation)
	}
	s.buffer = append(s.buffer[:0], "id: "...)
	s.buffer = s.encoder.Append(s.buffer, relay.EventID{
		Generation:  token.Generation,
		Target:      token.Target,
		Incarnation: token.Incarnation,
		Seed:        s.request.engineRequest.Seed,
		RequestHash: s.request.hash,
		Sequence:    token.Sequence,
		Digest:      token.Digest,
		Chat:        s.request.chat,
		Final:       token.FinishReason != "",
	})
	s.buffer = append(s.buffer, "\ndata: "...)
	s.buffer = append(s.buffer, s.chunkHeader...)
	s.buffer = s.appendChoice(s.buffer, token)
	s.buffer = append(s.buffer, "}]}\n\n"...)
	return s.flush()
}

// newChunkHeader returns the common beginning of all chunks. The response keeps the
// identifier of the generation that produced the first token sent.
func (s *streamSink) newChunkHeader(generation core.GenerationID) []byte {
	prefix, object := "cmpl-", "text_completion"
	if s.request.chat {
		prefix, object = "chatcmpl-", "chat.completion.chunk"
	}
	model := appendJSONString(nil, string(s.request.engineRequest.Model))
	return fmt.Appendf(nil, `{"id":"%s%s","object":"%s","created":%d,"model":%s,"choices":[{"index":0,`, prefix, generation, object, s.created, model)
}

func (s *streamSink) appendChoice(dst []byte, token relay.Token) []byte {
	switch {
	case !s.request.chat:
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
func (s *streamSink) End(result relay.StreamResult) {
	if result.Refusal != nil && !s.started {
		s.refusal = result.Refusal
		return
	}
	s.buffer = s.buffer[:0]
	if result.Refusal != nil {
		s.appendFailure(result)
	} else {
		s.appendEnd(result)
	}
	_ = s.flush()                               // the stream has ended, even if the caller has disconnected
	_ = s.control.SetWriteDeadline(time.Time{}) // the connection may serve another request
}

func (s *streamSink) appendFailure(result relay.StreamResult) {
	s.handler.recordRefusal(s.from, result.Refusal)
	detail := newErrorDetail(result.Refusal)
	detail.Delivered = &result.Delivered
	data, err := json.Marshal(errorBody{Error: detail})
	if err != nil {
		return
	}
	s.buffer = append(s.buffer, "event: error\ndata: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
}

func (s *streamSink) appendEnd(result relay.StreamResult) {
	if s.request.includeUsage {
		usage := newUsage(s.promptTokens, core.Tokens(result.Delivered))
		s.buffer = fmt.Appendf(s.buffer, `data: {"object":"usage","created":%d,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`+"\n\n",
			s.created, usage.PromptTokens, usage.CompletionTokens, usage.TotalTokens)
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
}

// flush writes the buffer with one call and flushes it to the caller.
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
	now := time.Now() // real time, as the deadlines of connections
	if s.deadline.Sub(now) > writeTimeout-deadlineSlack {
		return
	}
	s.deadline = now.Add(writeTimeout)
	_ = s.control.SetWriteDeadline(s.deadline) // not supported by test recorders
}
