package prefixcache

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Query estimates for one prompt what engines have cached of it. It is valid until the cache changes.
type Query struct {
	cache *Cache
	parts []core.PrefixPart
}

// Expected returns the tokens at the beginning of the prompt that an engine is expected not to prefill. The
// engine has the given memory, of which running requests take the part running at their end.
func (q *Query) Expected(id core.TargetID, memory, running core.Tokens, now time.Duration) core.Tokens {
	e := q.cache.engines[id]
	if e == nil {
		return 0
	}
	expected := 0.0
	certain := 1.0 // the probability that all parts so far are cached
	for _, wanted := range q.parts {
		tokens, probability := e.cached(wanted, memory, running, now)
		certain = min(certain, probability)
		if certain <= 0 {
			break
		}
		expected += certain * float64(tokens)
	}
	return core.Tokens(expected)
}

// cached returns the tokens of a part that the engine may have, and the probability that it has them.
func (e *engine) cached(wanted core.PrefixPart, memory, running core.Tokens, now time.Duration) (core.Tokens, float64) {
	depth := core.Tokens(0) // tokens of this part and those used after it
	for i := range e.parts {
		known := &e.parts[i]
		depth += known.tokens
		if known.key == wanted.Key {
			age := 1 - float64(now-known.usedAt)/float64(maxAge)
			return min(known.tokens, wanted.Tokens), min(max(age, 0), 1) * fits(memory, depth, running)
		}
	}
	return 0, 0
}

// fits returns the probability that a part at the given depth has not been evicted. The prompts of running
// requests may be among the parts or not, so that the memory in use is between the larger of both and their
// sum.
func fits(memory, depth, running core.Tokens) float64 {
	lower, upper := max(depth, running), depth+max(running, 0)
	switch {
	case memory >= upper:
		return 1
	case memory < lower:
		return 0
	default:
		return float64(memory-lower) / float64(upper-lower)
	}
}
