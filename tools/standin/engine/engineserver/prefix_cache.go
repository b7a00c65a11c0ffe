package engineserver

import (
	"slices"
	"time"
)

// cacheEventsKept bounds the events that are kept; older ones are lost.
const cacheEventsKept = 4096

// prefixCache remembers which prompt prefixes were computed lately, and publishes changes.
type prefixCache struct {
	entries  int // prefixes that it holds
	gapEvery int // each n-th event is lost
	prefixes []uint64
	events   []cacheEvent
	sequence uint64
	flushes  uint64
}

// use reports whether the prefix was cached, and caches it.
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

// flush forgets all prefixes.
func (c *prefixCache) flush(now time.Time) {
	c.prefixes = nil
	c.flushes++
	c.publish("flushed", 0, now)
}

// publish keeps an event, unless it is one of those that are lost.
func (c *prefixCache) publish(kind string, prefix uint64, now time.Time) {
	c.sequence++
	if c.gapEvery > 0 && c.sequence%uint64(c.gapEvery) == 0 {
		return
	}
	c.events = append(c.events, cacheEvent{Sequence: c.sequence, Kind: kind, Prefix: prefix, at: now})
	if len(c.events) > cacheEventsKept {
		c.events = slices.Delete(c.events, 0, len(c.events)-cacheEventsKept)
	}
}

// page returns the events after a number that happened by the given time.
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
