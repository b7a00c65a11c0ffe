package forecast

import "siskintide.example/siskintide/internal/core"

const (
	maxCurves      = 512 // bounds the book's memory to about half a megabyte
	backoffWeight  = 15  // observations that a fallback curve weighs as much as
	blendEvery     = 25  // observations of the whole book after which a blend is renewed
	maxClassCurves = 64  // classes are declared, so more means a caller made them up
)

// Estimator holds the survival curves of a pool: one for each recently seen team and class,
// one for each class and one for all.
type Estimator struct {
	all      Curve
	classes  map[core.Class]*Curve
	curves   map[Key]*known
	observed int
	uses     uint64
}

// NewEstimator returns a book without observations.
func NewEstimator() *Estimator {
	return &Estimator{classes: map[core.Class]*Curve{}, curves: map[Key]*known{}}
}

// Observe counts the whole output of one request.
func (b *Estimator) Observe(key Key, length core.Tokens) {
	b.observed++
	b.all.Observe(length)
	b.class(key.Class).Observe(length)
	entry := b.entry(key)
	entry.curve.Observe(length)
	b.blend(key, entry)
}

// Survival returns the survival of a key's outputs, blended with those of its class and
// of all requests as far as the key has few observations of its own.
func (b *Estimator) Survival(key Key) *Survival {
	entry := b.entry(key)
	if b.observed-entry.blendAge >= blendEvery {
		b.blend(key, entry)
	}
	return &entry.blended
}

func (b *Estimator) blend(key Key, entry *known) {
	all := b.all.survival(&prior, backoffWeight)
	class := b.class(key.Class).survival(&all, backoffWeight)
	entry.blended = entry.curve.survival(&class, backoffWeight)
	entry.blendAge = b.observed
}

func (b *Estimator) class(class core.Class) *Curve {
	if curve := b.classes[class]; curve != nil {
		return curve
	}
	if len(b.classes) >= maxClassCurves {
		return &b.all
	}
	curve := &Curve{}
	b.classes[class] = curve
	return curve
}

func (b *Estimator) entry(key Key) *known {
	b.uses++
	entry := b.curves[key]
	if entry == nil {
		b.evict()
		entry = &known{}
		b.curves[key] = entry
		b.blend(key, entry)
	}
	entry.usedAt = b.uses
	return entry
}

// evict drops the least recently used curve when the book is full.
func (b *Estimator) evict() {
	if len(b.curves) < maxCurves {
		return
	}
	var oldest Key
	oldestUse := b.uses + 1
	for key, entry := range b.curves {
		if entry.usedAt < oldestUse {
			oldest, oldestUse = key, entry.usedAt
		}
	}
	delete(b.curves, oldest)
}
