package engineserver

import "time"

// stream is one generation in the engine.
type stream struct {
	id           string
	source       tokenSource
	prefix       uint64 // hash of the prompt's prefix, the cache key
	promptTokens int
	length       int    // tokens that the response will have
	finishReason string // finish reason at that length
	produced     int    // tokens generated so far
	prefillLeft  int    // prompt tokens to compute before the next token is produced
	priority     int
	arrival      uint64
	phase        phase
	endedAt      time.Time
	detachedAt   time.Time                // when the last reader unsubscribed; zero while there is one
	subscribers  map[*subscriber]struct{} // one for each reader
}

// context returns the number of tokens that the stream needs in memory.
func (s *stream) context() int { return s.promptTokens + s.produced }

// precedes reports whether the stream is scheduled before another one.
func (s *stream) precedes(other *stream) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

// progress returns an update without faults.
func (s *stream) progress() update {
	return update{produced: s.produced, ended: s.phase == ended, finishReason: s.finishReason}
}

// notify sends an update to all readers.
func (s *stream) notify(u update) {
	for sub := range s.subscribers {
		sub.send(u)
	}
}
