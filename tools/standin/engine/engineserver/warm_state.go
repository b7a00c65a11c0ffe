package engineserver

import "time"

// warmState tracks whether an engine is warm and for how long it has been overloaded.
type warmState struct {
	warm            bool
	decodingTime    time.Duration // decoding time without overload since the engine turned cold
	overloadedSince time.Time     // zero if the engine is not overloaded
}

// recordStep records the duration of a step of a cold engine.
func (w *warmState) recordStep(duration, warmAfter time.Duration, overloaded bool, now time.Time) {
	if overloaded {
		if w.overloadedSince.IsZero() {
			w.overloadedSince = now
		}
		return
	}
	w.overloadedSince = time.Time{}
	w.decodingTime += duration
	if w.decodingTime >= warmAfter {
		w.warm = true
	}
}

// shouldCrash reports whether the engine has been overloaded for the given time.
func (w *warmState) shouldCrash(after time.Duration, now time.Time) bool {
	return !w.overloadedSince.IsZero() && now.Sub(w.overloadedSince) >= after
}
