package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// recentIDs is a set of generations that drops its oldest entries after recentIDTTL and
// above maxRecentIDs. It makes duplicate and reordered messages harmless.
type recentIDs struct {
	at    map[core.GenerationID]time.Time
	order []core.GenerationID
}

func newRecentIDs() *recentIDs {
	return &recentIDs{at: map[core.GenerationID]time.Time{}}
}

// Has reports whether the generation is in the set.
func (r *recentIDs) Has(id core.GenerationID) bool {
	_, found := r.at[id]
	return found
}

// At returns when the generation was last added.
func (r *recentIDs) At(id core.GenerationID) (time.Time, bool) {
	at, found := r.at[id]
	return at, found
}

// Add adds a generation, or renews its time.
func (r *recentIDs) Add(id core.GenerationID, now time.Time) {
	if !r.Has(id) {
		r.order = append(r.order, id)
	}
	r.at[id] = now
	if len(r.order) > maxRecentIDs {
		r.dropOldest()
	}
}

// Expire drops generations older than recentIDTTL.
func (r *recentIDs) Expire(now time.Time) {
	for len(r.order) > 0 && now.Sub(r.at[r.order[0]]) > recentIDTTL {
		r.dropOldest()
	}
}

func (r *recentIDs) dropOldest() {
	delete(r.at, r.order[0])
	r.order = r.order[1:]
}
