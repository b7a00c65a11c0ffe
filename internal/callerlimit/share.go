package callerlimit

import "siskintide.example/siskintide/internal/decide/callerbudget"

// Share is the memory that one request has taken for a class. It is not safe for concurrent use.
type Share struct {
	limiter *Limiter
	class   callerbudget.Class
	address string
	taken   int64
}

// Grow takes n more bytes. It returns a *LimitError, and takes nothing, if there is no room.
func (s *Share) Grow(n int64) error {
	if n <= 0 || s.limiter == nil {
		return nil
	}
	if reason := s.limiter.take(s.class, s.address, n); reason != "" {
		s.limiter.count(string(reason), s.address)
		s.limiter.Relieve()
		return &LimitError{Reason: string(reason)}
	}
	s.taken += n
	return nil
}

// Join returns a share that holds what both shares of one address have taken. They hold nothing afterwards.
func (s *Share) Join(other *Share) *Share {
	joined := &Share{limiter: s.limiter, class: s.class, address: s.address, taken: s.taken + other.taken}
	s.taken, other.taken = 0, 0
	return joined
}

// Release returns all that was taken.
func (s *Share) Release() {
	if s.taken == 0 {
		return
	}
	s.limiter.give(s.address, s.taken)
	s.taken = 0
}
