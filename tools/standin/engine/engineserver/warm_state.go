package engineserver

import "time"

// warmth tracks whether an engine is warm and for how long it has been overloaded.
type warmth struct {
	warm            bool
	worked          time.Duration // decoding time without overload since the engine turned cold
	overloadedSince time.Time     // zero if the engine is not overloaded
}

// step counts a step of a cold engine.
func (w *warmth) step(took, warmAfter time.Duration, overloaded bool, now time.Time) {
	if overloaded {
		if w.overloadedSince.IsZero() {
			w.overloadedSince = now
		}
		return
	}
	w.overloadedSince = time.Time{}
	w.worked += took
	if w.worked >= warmAfter {
		w.warm = true
	}
}

// crashes reports whether the engine has been overloaded for too long.
func (w *warmth) crashes(after time.Duration, now time.Time) bool {
	return !w.overloadedSince.IsZero() && now.Sub(w.overloadedSince) >= after
}
