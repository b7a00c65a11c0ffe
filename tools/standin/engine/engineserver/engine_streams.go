package engineserver

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is the number of prompt bytes that count as one token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's prefix whose hash is the cache key.
	prefixBytes = 256
)

// checkIncarnation refuses a request that expects another incarnation. An empty value
// matches any.
func (e *engine) checkIncarnation(incarnation string) error {
	if incarnation != "" && incarnation != e.incarnation {
		return &statusError{http.StatusConflict, "incarnation"}
	}
	return nil
}

// submit starts a new generation and subscribes its first reader.
func (e *engine) submit(c completionRequest, expected string) (*reader, error) {
	now := e.clock.Now()
	if err := e.checkIncarnation(expected); err != nil {
		return nil, err
	}
	version, ok := e.readyVersion(c.Model)
	if !ok {
		return nil, &statusError{http.StatusNotFound, "unknown_model"}
	}
	if _, known := e.streams[c.RequestID]; known {
		return nil, &statusError{http.StatusBadRequest, "duplicate_request"}
	}
	s := e.newStream(c, version)
	if s.context()+1 >= e.options.MemoryTokens {
		return nil, &statusError{http.StatusRequestEntityTooLarge, "too_large"}
	}
	if _, overloaded := e.faults.Trigger(FaultOverloaded, now); overloaded {
		return nil, &statusError{http.StatusServiceUnavailable, "overloaded"}
	}
	e.streams[s.id] = s
	e.batch.add(s)
	e.beginStep(now)
	return e.subscribe(s), nil
}

// newStream creates the stream of a request.
func (e *engine) newStream(c completionRequest, version string) *stream {
	var salt uint64
	e.arrivals++
	if _, nondeterministic := e.faults.Trigger(FaultNondeterministic, e.clock.Now()); nondeterministic {
		salt = mix(xxhash.Sum64String(e.incarnation), e.arrivals, 0)
	}
	s := &stream{
		id:           c.RequestID,
		source:       newTokenSource(version, c.Prompt, c.Seed, salt),
		prefix:       xxhash.Sum64String(c.Prompt[:min(len(c.Prompt), prefixBytes)]),
		promptTokens: max(1, (len(c.Prompt)+bytesPerToken-1)/bytesPerToken),
		length:       outputLength(c.Prompt, c.Seed),
		finishReason: "stop",
		priority:     c.Priority,
		arrival:      e.arrivals,
		subscribers:  map[*subscriber]struct{}{},
	}
	if c.MaxTokens > 0 && s.length > c.MaxTokens {
		s.length = c.MaxTokens
		s.finishReason = "length"
	}
	return s
}

// resume subscribes another reader to an existing stream.
func (e *engine) resume(id, expected string) (*reader, error) {
	if err := e.checkIncarnation(expected); err != nil {
		return nil, err
	}
	s := e.streams[id]
	if s == nil {
		return nil, &statusError{http.StatusNotFound, "unknown_stream"}
	}
	return e.subscribe(s), nil
}

// subscribe adds a reader to a stream and sends it the stream's progress.
func (e *engine) subscribe(s *stream) *reader {
	sub := newSubscriber()
	s.subscribers[sub] = struct{}{}
	s.detachedAt = noTime
	sub.send(s.progress())
	return &reader{stream: s, subscriber: sub, incarnation: e.incarnation, incarnationEnded: e.incarnationEnded}
}

// unsubscribe removes a reader. A stream without readers continues for resumeWindow.
func (e *engine) unsubscribe(r *reader) {
	delete(r.stream.subscribers, r.subscriber)
	if len(r.stream.subscribers) == 0 {
		r.stream.detachedAt = e.clock.Now()
	}
}

// cancel ends and deletes a stream.
func (e *engine) cancel(id string) {
	s := e.streams[id]
	if s == nil {
		return
	}
	e.batch.remove(s)
	s.notify(update{cancelled: true})
	delete(e.streams, id)
}
