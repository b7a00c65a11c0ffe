package engineserver

// subscriber is one reader of a stream. Its channel holds at most the newest update, so
// that a slow reader costs no memory.
type subscriber struct {
	updates chan update
}

func newSubscriber() *subscriber { return &subscriber{updates: make(chan update, 1)} }

// send replaces the update that the reader has not taken yet, and keeps its faults. Only
// the goroutine that owns the engine sends.
func (s *subscriber) send(u update) {
	select {
	case missed := <-s.updates:
		u.inherit(missed)
	default:
	}
	s.updates <- u
}
