package prefixcache

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// MaxParts is the number of parts of a prompt that count.
	MaxParts = 17
	// maxEngineParts bounds the parts kept for one engine. An engine's memory holds about ten prompts of
	// two or three parts.
	maxEngineParts = 64
	// maxAge is the age at which a part no longer counts. Hosts that do not reach the hub place at the same
	// engines without its knowledge.
	maxAge = 60 * time.Second
)

// Cache holds the parts of prompts that were placed at each engine. It is not safe for concurrent use.
type Cache struct {
	engines map[core.TargetID]*engine
	holders map[core.PromptPart]int // number of engines that have a part
}

// NewCache returns a cache without parts.
func NewCache() *Cache {
	return &Cache{engines: map[core.TargetID]*engine{}, holders: map[core.PromptPart]int{}}
}

// Record records that a prompt was placed at an engine with the given memory. The first parts count as the
// most recently used.
func (c *Cache) Record(id core.TargetID, parts []core.PrefixPart, memory core.Tokens, now time.Duration) {
	parts = valid(parts)
	if len(parts) == 0 || memory <= 0 {
		return
	}
	e := c.engines[id]
	if e == nil {
		e = &engine{}
		c.engines[id] = e
	}
	e.lastPlaced = now
	for _, part := range slices.Backward(parts) {
		if e.use(part, now) {
			c.holders[part.Key]++
		}
	}
	for _, dropped := range e.trim(memory) {
		c.release(dropped.key)
	}
}

// Query prepares the estimates for one prompt. It returns nil if no engine has its first part.
func (c *Cache) Query(parts []core.PrefixPart) *Query {
	if len(parts) == 0 || len(c.engines) == 0 {
		return nil
	}
	parts = valid(parts)
	for i, part := range parts {
		if c.holders[part.Key] == 0 {
			parts = parts[:i]
			break
		}
	}
	if len(parts) == 0 {
		return nil
	}
	return &Query{cache: c, parts: parts}
}

// Forget drops all parts of an engine that has restarted or is gone.
func (c *Cache) Forget(id core.TargetID) {
	e := c.engines[id]
	if e == nil {
		return
	}
	for _, known := range e.parts {
		c.release(known.key)
	}
	delete(c.engines, id)
}

// Expire drops the engines at which nothing has been placed for maxAge.
func (c *Cache) Expire(now time.Duration) {
	for id, e := range c.engines {
		if now-e.lastPlaced >= maxAge {
			c.Forget(id)
		}
	}
}

func (c *Cache) release(key core.PromptPart) {
	if c.holders[key]--; c.holders[key] <= 0 {
		delete(c.holders, key)
	}
}

// valid returns the leading parts that can be cached: at most MaxParts, up to the first one without tokens or
// that occurs for the second time.
func valid(parts []core.PrefixPart) []core.PrefixPart {
	parts = parts[:min(len(parts), MaxParts)]
	for i, part := range parts {
		repeated := slices.ContainsFunc(parts[:i], func(p core.PrefixPart) bool { return p.Key == part.Key })
		if part.Tokens <= 0 || repeated {
			return parts[:i]
		}
	}
	return parts
}
