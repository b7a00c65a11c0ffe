package engineserver

import (
	"net/http"

	"github.com/cespare/xxhash/v2"
)

const (
	// bytesPerToken is how many bytes of a prompt count as one token.
	bytesPerToken = 4
	// prefixBytes is the length of the prompt's beginning that the cache knows it by.
	prefixBytes = 256
)

// expect refuses a call that is meant for another incarnation; an empty one fits any.
func (e *engine) expect(incarnation string) error {
	if incarnation != "" && incarnation != e.incarnation {
		return &refusal{http.StatusConflict, "incarnation"}
	}
	return nil
}

// submit takes a new generation.
func (e *engine) submit(c completion, expected string) (*reader, error) {
	now := e.clock.Now()
	if err := e.expect(expected); err != nil {
		return nil, err
	}
	version, ok := e.ready(c.Model)
	if !ok {
		return nil, &refusal{http.StatusNotFound, "unknown_model"}
	}
	if _, known := e.streams[c.RequestID]; known {
		return nil, &refusal{http.StatusBadRequest, "duplicate_request"}
	}
	s := e.newStream(c, version)
	if s.context()+1 >= e.options.MemoryTokens {
		return nil, &refusal{http.StatusRequestEntityTooLarge, "too_large"}
	}
	if _, overloaded := e.faults.Trigger(FaultOverloaded, now); overloaded {
		return nil, &refusal{http.StatusServiceUnavailable, "overloaded"}
	}
	e.streams[s.id] = s
	e.batch.add(s)
	e.beginStep(now)
	return e.subscribe(s), nil
}

// newStream prepares the stream of a request.
func (e *engine) newStream(c completion, version string) *stream {
	var salt uint64
	e.arrivals++
	if _, other := e.faults.Trigger(FaultNondeterministic, e.clock.Now()); other {
		salt = mix(xxhash.Sum64String(e.incarnation), e.arrivals, 0)
	}
	s := &stream{
		id:       c.RequestID,
		source:   newSource(version, c.Prompt, c.Seed, salt),
		prefix:   xxhash.Sum64String(c.Prompt[:min(len(c.Prompt), prefixBytes)]),
		prompt:   max(1, (len(c.Prompt)+bytesPerToken-1)/bytesPerToken),
		length:   outputLength(c.Prompt, c.Seed),
		reason:   "stop",
		priority: c.Priority,
		arrival:  e.arrivals,
		readers:  map[*subscriber]struct{}{},
	}
	if c.MaxTokens > 0 && s.length > c.MaxTokens {
		s.length = c.MaxTokens
		s.reason = "length"
	}
	return s
}

// resume lets a call read a known stream again.
func (e *engine) resume(id, expected string) (*reader, error) {
	if err := e.expect(expected); err != nil {
		return nil, err
	}
	s := e.streams[id]
	if s == nil {
		return nil, &refusal{http.StatusNotFound, "unknown_stream"}
	}
	return e.subscribe(s), nil
}

// subscribe adds a reader to a stream and tells it how far the stream has got.
func (e *engine) subscribe(s *stream) *reader {
	sub := newSubscriber()
	s.readers[sub] = struct{}{}
	s.detachedAt = noTime
	sub.send(s.state())
	return &reader{stream: s, subscriber: sub, incarnation: e.incarnation, lost: e.lost}
}

// unsubscribe removes a reader. A stream without readers runs on for the resume window.
func (e *engine) unsubscribe(r *reader) {
	delete(r.stream.readers, r.subscriber)
	if len(r.stream.readers) == 0 {
		r.stream.detachedAt = e.clock.Now()
	}
}

// cancel ends a stream and forgets it.
func (e *engine) cancel(id string) {
	s := e.streams[id]
	if s == nil {
		return
	}
	e.batch.remove(s)
	s.notify(update{gone: true})
	delete(e.streams, id)
}
