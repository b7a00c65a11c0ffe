package fault

import "time"

// Set holds the active faults of a stand-in. It belongs to one goroutine.
type Set struct {
	byKind map[Kind]*activeFault
}

// NewSet returns a set without faults.
func NewSet() *Set { return &Set{byKind: map[Kind]*activeFault{}} }

// Apply starts a fault, or ends all faults if the kind is Clear.
func (s *Set) Apply(spec Spec, now time.Time) {
	if spec.Kind == Clear {
		clear(s.byKind)
		return
	}
	started := &activeFault{spec: spec}
	if spec.DurationMS > 0 {
		started.until = now.Add(spec.Duration())
	}
	s.byKind[spec.Kind] = started
}

// Trigger counts an occasion for a fault and reports whether to inject it now. A fault that
// is limited to certain callers is neither counted nor injected.
func (s *Set) Trigger(kind Kind, now time.Time) (Spec, bool) { return s.TriggerFor("", kind, now) }

// TriggerFor does the same as Trigger for a request of the named caller, and so also injects
// faults that are limited to that caller.
func (s *Set) TriggerFor(caller string, kind Kind, now time.Time) (Spec, bool) {
	current := s.byKind[kind]
	if current == nil || !current.spec.appliesTo(caller) {
		return Spec{}, false
	}
	if !current.until.IsZero() && !now.Before(current.until) {
		delete(s.byKind, kind)
		return Spec{}, false
	}
	current.occasions++
	if current.spec.Every > 1 && current.occasions%current.spec.Every != 0 {
		return Spec{}, false
	}
	current.triggered++
	if current.spec.Count > 0 && current.triggered >= current.spec.Count {
		delete(s.byKind, kind)
	}
	return current.spec, true
}
