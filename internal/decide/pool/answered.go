package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// answered remembers for a while which generations need no further answer, so that
// duplicates and crossed messages change nothing.
type answered struct {
	at    map[core.GenerationID]time.Time
	order []core.GenerationID
}

func newAnswered() *answered {
	return &answered{at: map[core.GenerationID]time.Time{}}
}

// Has reports whether the generation is remembered.
func (a *answered) Has(id core.GenerationID) bool {
	_, found := a.at[id]
	return found
}

// At returns when the generation was added last.
func (a *answered) At(id core.GenerationID) (time.Time, bool) {
	at, found := a.at[id]
	return at, found
}

// Add remembers a generation, or renews its time.
func (a *answered) Add(id core.GenerationID, now time.Time) {
	if !a.Has(id) {
		a.order = append(a.order, id)
	}
	a.at[id] = now
	if len(a.order) > maxAnswered {
		a.dropOldest()
	}
}

// Expire forgets generations that have been remembered for long enough.
func (a *answered) Expire(now time.Time) {
	for len(a.order) > 0 && now.Sub(a.at[a.order[0]]) > answeredTTL {
		a.dropOldest()
	}
}

func (a *answered) dropOldest() {
	delete(a.at, a.order[0])
	a.order = a.order[1:]
}
