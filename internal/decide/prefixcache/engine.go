package prefixcache

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

// engine holds the parts of prompts placed at one engine.
type engine struct {
	parts      []part // most recently used first; the tokens of all together fit into the engine's memory
	lastPlaced time.Duration
}

// use moves a part to the front. It returns true if the part is new.
func (e *engine) use(p core.PrefixPart, now time.Duration) bool {
	used := part{key: p.Key, tokens: p.Tokens, usedAt: now}
	at := slices.IndexFunc(e.parts, func(known part) bool { return known.key == p.Key })
	added := at < 0
	if added {
		at = len(e.parts)
		e.parts = append(e.parts, part{})
	}
	copy(e.parts[1:at+1], e.parts[:at])
	e.parts[0] = used
	return added
}

// trim drops the least recently used parts for which there is no memory or no entry, and returns them.
func (e *engine) trim(memory core.Tokens) []part {
	kept, sum := 0, core.Tokens(0)
	for kept < min(len(e.parts), maxEngineParts) && e.parts[kept].tokens <= memory-sum {
		sum += e.parts[kept].tokens
		kept++
	}
	dropped := e.parts[kept:]
	e.parts = e.parts[:kept]
	return dropped
}
