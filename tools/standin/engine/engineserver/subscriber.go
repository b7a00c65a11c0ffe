package engineserver

// subscriber delivers updates to one reader of a stream. Its channel holds only the newest
// update, so that a slow reader uses no more memory.
type subscriber struct {
	updates chan update
}

func newSubscriber() *subscriber { return &subscriber{updates: make(chan update, 1)} }

// send replaces an update that the reader has not received yet, and keeps its faults. Only
// the event loop calls it.
func (s *subscriber) send(u update) {
	select {
	case unread := <-s.updates:
		u.mergeFaults(unread)
	default:
	}
	s.updates <- u
}
