package fault

import "time"

// Set holds the faults that a stand-in shows now. It belongs to one goroutine.
type Set struct {
	byKind map[Kind]*active
}

// NewSet returns a set without faults.
func NewSet() *Set { return &Set{byKind: map[Kind]*active{}} }

// Add begins a fault, or ends all of them when its kind is Clear.
func (s *Set) Add(order Order, now time.Time) {
	if order.Kind == Clear {
		clear(s.byKind)
		return
	}
	begun := &active{order: order}
	if order.ForMS > 0 {
		begun.until = now.Add(order.For())
	}
	s.byKind[order.Kind] = begun
}

// Take reports whether the fault shows at this occasion and counts it if so. A fault
// that is limited to some callers doesn't show.
func (s *Set) Take(kind Kind, now time.Time) (Order, bool) { return s.TakeFrom("", kind, now) }

// TakeFrom is Take for a call of the caller.
func (s *Set) TakeFrom(caller string, kind Kind, now time.Time) (Order, bool) {
	current := s.byKind[kind]
	if current == nil || !current.order.concerns(caller) {
		return Order{}, false
	}
	if !current.until.IsZero() && !now.Before(current.until) {
		delete(s.byKind, kind)
		return Order{}, false
	}
	current.occasions++
	if current.order.Every > 1 && current.occasions%current.order.Every != 0 {
		return Order{}, false
	}
	current.shown++
	if current.order.Count > 0 && current.shown >= current.order.Count {
		delete(s.byKind, kind)
	}
	return current.order, true
}
