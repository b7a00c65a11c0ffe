package forecast

import "siskintide.example/siskintide/internal/core"

const (
	maxEntries     = 512 // bounds the estimator's memory to about half a megabyte
	fallbackWeight = 15  // observations that a fallback weighs as much as
	blendEvery     = 25  // observations of all keys after which a blend is computed again
	maxClasses     = 64  // classes are declared, so more of them means that a caller invents names
)

// Estimator estimates output lengths in one pool. It keeps a histogram for each recently
// used team and class, one for each class, and one for all requests.
type Estimator struct {
	all      histogram
	classes  map[core.Class]*histogram
	entries  map[Key]*entry
	observed int
	uses     uint64
}

// NewEstimator returns an estimator without observations.
func NewEstimator() *Estimator {
	return &Estimator{classes: map[core.Class]*histogram{}, entries: map[Key]*entry{}}
}

// Observe counts the length of one completed output.
func (e *Estimator) Observe(key Key, length core.Tokens) {
	e.observed++
	e.all.observe(length)
	e.class(key.Class).observe(length)
	found := e.entryOf(key)
	found.lengths.observe(length)
	e.blend(key, found)
}

// Survival returns the survival function of a key's outputs. The fewer observations the
// key has of its own, the more it is blended with those of its class and of all requests.
func (e *Estimator) Survival(key Key) *Survival {
	found := e.entryOf(key)
	if e.observed-found.blendedAt >= blendEvery {
		e.blend(key, found)
	}
	return &found.blended
}

func (e *Estimator) blend(key Key, found *entry) {
	all := e.all.survival(&prior, fallbackWeight)
	class := e.class(key.Class).survival(&all, fallbackWeight)
	found.blended = found.lengths.survival(&class, fallbackWeight)
	found.blendedAt = e.observed
}

// class returns the histogram of a class, or that of all requests if there are maxClasses
// other ones.
func (e *Estimator) class(class core.Class) *histogram {
	if lengths := e.classes[class]; lengths != nil {
		return lengths
	}
	if len(e.classes) >= maxClasses {
		return &e.all
	}
	lengths := &histogram{}
	e.classes[class] = lengths
	return lengths
}

// entryOf returns the entry of a key, and creates it if needed.
func (e *Estimator) entryOf(key Key) *entry {
	e.uses++
	found := e.entries[key]
	if found == nil {
		e.evict()
		found = &entry{}
		e.entries[key] = found
		e.blend(key, found)
	}
	found.usedAt = e.uses
	return found
}

// evict drops the least recently used entry if there are maxEntries.
func (e *Estimator) evict() {
	if len(e.entries) < maxEntries {
		return
	}
	var oldest Key
	oldestUse := e.uses + 1
	for key, candidate := range e.entries {
		if candidate.usedAt < oldestUse {
			oldest, oldestUse = key, candidate.usedAt
		}
	}
	delete(e.entries, oldest)
}
