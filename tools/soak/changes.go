package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// live draws a target that was not told to leave.
func (w *world) live(r *rand.Rand) *target {
	for {
		t := w.targets[r.IntN(len(w.targets))]
		if t.leaving.IsZero() {
			return t
		}
	}
}

// notice tells a target that it will be taken away.
func (w *world) notice(t *target) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !t.leaving.IsZero() {
		return
	}
	t.Register("draining")
	t.leaving = time.Now()
	w.leaving[t.id] = t.leaving
}

// replace ends a target and starts another in its place.
func (w *world) replace(t *target, end func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := slices.Index(w.targets, t)
	if at < 0 {
		return
	}
	w.targets = slices.Delete(w.targets, at, at+1)
	end()
	t.Unregister()
	if _, err := w.addTarget(t.engine, t.zone); err != nil {
		w.wrong = append(w.wrong, fmt.Sprintf("target was not replaced: %v", err))
	}
}

// rotateKeys takes the oldest key away and adds a new one.
func (w *world) rotateKeys() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version += 2
	former := w.keys[0]
	w.keys = append(slices.Clone(w.keys[1:]), fmt.Sprintf("key-%d", w.version))
	w.store.PutConfig(w.version, w.keys)
	w.revoked[former] = time.Now()
}

// key draws a key that is in force, or at times one that is not any more.
func (w *world) key(r *rand.Rand) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.IntN(10) == 0 && len(w.revoked) > 0 {
		var former []string
		for key := range w.revoked {
			former = append(former, key)
		}
		slices.Sort(former)
		return former[r.IntN(len(former))]
	}
	return w.keys[r.IntN(len(w.keys))]
}

func (w *world) evacuate(zone string, out bool) { w.store.SetEvacuated(zone, out) }

// note keeps what was sent and how it ended.
func (w *world) note(made *sent) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sent = append(w.sent, made)
}

// broken notes a promise that was broken.
func (w *world) broken(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.wrong = append(w.wrong, fmt.Sprintf(format, args...))
}
