package engineserver

import "time"

// stream is one generation in the engine.
type stream struct {
	id         string
	source     source
	prefix     uint64 // hash of the prompt's beginning
	prompt     int    // tokens
	length     int    // tokens that the answer will have
	reason     string // finish reason at that length
	produced   int    // tokens
	prefill    int    // tokens still to be computed before the next one is produced
	priority   int
	arrival    uint64
	phase      phase
	endedAt    time.Time
	detachedAt time.Time // when the last reader left; zero while there is one
	readers    map[*subscriber]struct{}
}

// context returns the tokens that the stream needs in memory.
func (s *stream) context() int { return s.prompt + s.produced }

// before reports whether the stream is served ahead of another one.
func (s *stream) before(other *stream) bool {
	if s.priority != other.priority {
		return s.priority < other.priority
	}
	return s.arrival < other.arrival
}

// state returns an update without faults.
func (s *stream) state() update {
	return update{produced: s.produced, ended: s.phase == ended, reason: s.reason}
}

// notify sends an update to all readers.
func (s *stream) notify(u update) {
	for reader := range s.readers {
		reader.send(u)
	}
}
