package engineserver

import (
	"slices"
	"time"
)

// maxCacheEvents limits the retained events; older ones are dropped.
const maxCacheEvents = 4096

// prefixCache is an LRU cache of prompt prefixes that records its changes as events.
type prefixCache struct {
	entries  int // capacity
	gapEvery int // every n-th event is lost; zero means none
	prefixes []uint64
	events   []cacheEvent
	sequence uint64
	flushes  uint64
}

// use reports whether the prefix is cached, and adds it or marks it as most recently used.
func (c *prefixCache) use(prefix uint64, now time.Time) bool {
	at := slices.Index(c.prefixes, prefix)
	if at >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, at, at+1), prefix)
		return true
	}
	if len(c.prefixes) >= c.entries {
		c.publish("evicted", c.prefixes[0], now)
		c.prefixes = slices.Delete(c.prefixes, 0, 1)
	}
	c.prefixes = append(c.prefixes, prefix)
	c.publish("stored", prefix, now)
	return false
}

// flush removes all prefixes.
func (c *prefixCache) flush(now time.Time) {
	c.prefixes = nil
	c.flushes++
	c.publish("flushed", 0, now)
}

// publish appends an event, or skips it if gapEvery says that it is lost.
func (c *prefixCache) publish(kind string, prefix uint64, now time.Time) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%uint64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, at: now})
	if len(c.events) > maxCacheEvents {
		c.events = slices.Delete(c.events, 0, len(c.events)-maxCacheEvents)
	}
}

// page returns the events after a sequence number that occurred no later than by.
func (c *prefixCache) page(after uint64, by time.Time) cachePage {
	page := cachePage{Next: after, Events: []cacheEvent{}}
	for _, event := range c.events {
		if event.Sequence > after && !event.at.After(by) {
			page.Events = append(page.Events, event)
			page.Next = event.Sequence
		}
	}
	return page
}
