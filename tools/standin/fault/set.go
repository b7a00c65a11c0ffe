package fault

import "time"

// Set holds the faults that a stand-in shows now. It belongs to one goroutine.
type Set struct {
	byKind map[Kind]*active
}

// NewSet returns a set without faults.
func NewSet() *Set { return &Set{byKind: map[Kind]*active{}} }

// Apply begins a fault, or ends all of them when its kind is Clear.
func (s *Set) Apply(order Spec, now time.Time) {
	if order.Kind == Clear {
		clear(s.byKind)
		return
	}
	begun := &active{order: order}
	if order.DurationMS > 0 {
		begun.until = now.Add(order.Duration())
	}
	s.byKind[order.Kind] = begun
}

// Trigger reports whether the fault shows at this occasion and counts it if so. A fault
// that is limited to some callers doesn't show.
func (s *Set) Trigger(kind Kind, now time.Time) (Spec, bool) { return s.TriggerFor("", kind, now) }

// TriggerFor is Take for a call of the caller.
func (s *Set) TriggerFor(caller string, kind Kind, now time.Time) (Spec, bool) {
	current := s.byKind[kind]
	if current == nil || !current.order.concerns(caller) {
		return Spec{}, false
	}
	if !current.until.IsZero() && !now.Before(current.until) {
		delete(s.byKind, kind)
		return Spec{}, false
	}
	current.occasions++
	if current.order.Every > 1 && current.occasions%current.order.Every != 0 {
		return Spec{}, false
	}
	current.shown++
	if current.order.Count > 0 && current.shown >= current.order.Count {
		delete(s.byKind, kind)
	}
	return current.order, true
}
