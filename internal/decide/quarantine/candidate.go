package quarantine

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// newPartCrashes and knownPartCrashes are the numbers of crashes in a row from which a part is
	// held. A part on which generations have begun before is held later, because crashes that have
	// another cause hit it more often.
	newPartCrashes   = 2
	knownPartCrashes = 4
	// ambiguousCrashes is how many more crashes it takes if ambiguous ones are among them. A crash that several
	// requests may have caused counts against the parts of all of them.
	ambiguousCrashes = 1
	// sameCause is the time within which crashes count once for a known part: many engines that
	// end together have another cause.
	sameCause = 250 * time.Millisecond
	// restartTime is the time within which an engine crashes once. All requests that it was about to
	// begin break off with it.
	restartTime = time.Second
	// firstHold is how long a part is held at first, after which single requests may show that it
	// is sound. From manyCrashes crashes on it is held for longHold, and twice as long with each
	// further crash, up to maxHold. See Tracker.spread for what is added.
	firstHold   = 30 * time.Second
	manyCrashes = 5
	longHold    = 10 * time.Minute
	maxHold     = 2 * time.Hour
)

// candidate is a set of parts that occurred in the same crashes.
type candidate struct {
	parts   []core.PromptPart
	crashes []crash // oldest first
	known   bool    // generations on the parts have begun before
}

// limit returns the number of crashes in a row from which the parts are held.
func (c *candidate) limit() int {
	if c.known {
		return knownPartCrashes
	}
	return newPartCrashes
}

// reachesLimit reports whether the parts are held.
func (c *candidate) reachesLimit() bool {
	counted := c.counted()
	clear := 0
	for _, crash := range counted {
		if !crash.ambiguous {
			clear++
		}
	}
	return clear >= c.limit() || len(counted) >= c.limit()+ambiguousCrashes
}

// counted returns the crashes in a row. Those that count as one are ambiguous only if all of them are.
func (c *candidate) counted() []crash {
	var counted []crash
	for _, next := range c.crashes {
		i := slices.IndexFunc(counted, func(former crash) bool { return c.sameCrash(former, next) })
		if i < 0 {
			counted = append(counted, next)
			continue
		}
		counted[i].ambiguous = counted[i].ambiguous && next.ambiguous
	}
	return counted
}

// sameCrash reports whether a later crash counts as the former one.
func (c *candidate) sameCrash(former, later crash) bool {
	apart := later.at - former.at
	return former.engine == later.engine && later.engine != 0 && apart <= restartTime || c.known && apart <= sameCause
}

// hold returns the hold of the parts, longer by a fraction. They must have reached their limit.
func (c *candidate) hold(spread float64) Hold {
	crashes := len(c.counted())
	length := firstHold
	if crashes >= manyCrashes {
		length = min(longHold<<(crashes-manyCrashes), maxHold)
	}
	length += time.Duration(spread * float64(length))
	return Hold{Parts: c.parts, Crashes: crashes, Until: c.crashes[len(c.crashes)-1].at + length}
}

// without returns the candidate without the crashes that another one explains.
func (c *candidate) without(explained []crash) *candidate {
	rest := *c
	rest.crashes = slices.DeleteFunc(slices.Clone(c.crashes), func(crash crash) bool { return contains(explained, crash.id) })
	return &rest
}

func contains(crashes []crash, id uint64) bool {
	return slices.ContainsFunc(crashes, func(c crash) bool { return c.id == id })
}
