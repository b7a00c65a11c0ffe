package hub

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// RequestInterval is the time between two requests to the hub.
	RequestInterval = 400 * time.Millisecond
	// responseTimeout is how long a response may take. Links between data centres take some
	// milliseconds, and a hub on a small host takes some tens.
	responseTimeout = 350 * time.Millisecond
	// staleAfter is the age from which a hub's data is not used. It leaves most of the two
	// seconds within which a leaving target must get no more work.
	staleAfter = 1200 * time.Millisecond
	// settleTime is how long a newly chosen hub may have stale data, since a hub may start to
	// read the store only when it gets its first request.
	settleTime = time.Second
	// avoidPeriod is how long a hub that did not respond, or had stale data, is not chosen.
	avoidPeriod = 2 * time.Second
	// subscriberTTL is how long after its last request a subscriber is dropped.
	subscriberTTL = 1500 * time.Millisecond
)

// Chooser chooses the hub of a host and tracks the subscribers of the host, for which it is
// the hub. It must be used by one goroutine only.
type Chooser struct {
	candidates  []core.HostID
	reserve     []core.HostID // used only while the host cannot read the store
	peers       map[core.HostID]*peer
	current     core.HostID
	chosenAt    time.Duration                 // when current was chosen
	subscribers map[core.HostID]time.Duration // latest request of each
}

// NewChooser returns a chooser without candidates.
func NewChooser() *Chooser {
	return &Chooser{peers: map[core.HostID]*peer{}, subscribers: map[core.HostID]time.Duration{}}
}

// SetCandidates replaces the candidates and the reserve, best first.
func (c *Chooser) SetCandidates(hosts, reserve []core.Host) {
	c.candidates, c.reserve = hostIDs(hosts), hostIDs(reserve)
}

func hostIDs(hosts []core.Host) []core.HostID {
	ids := make([]core.HostID, 0, len(hosts))
	for _, host := range hosts {
		ids = append(ids, host.ID)
	}
	return ids
}

func (c *Chooser) peer(id core.HostID) *peer {
	if c.peers[id] == nil {
		c.peers[id] = &peer{}
	}
	return c.peers[id]
}

// SetLinked records that the link to a host came up or went down.
func (c *Chooser) SetLinked(id core.HostID, up bool) {
	p := c.peer(id)
	p.linked, p.waiting, p.proven = up, false, false
	if !up && c.current == id {
		c.current = ""
	}
}

// RecordRequest records a request of another host, which uses this one as its hub.
func (c *Chooser) RecordRequest(by core.HostID, now time.Duration) { c.subscribers[by] = now }

// RecordResponse records the response to a request that was sent at sentAt. If known is
// set, age is the age of the hub's data when it responded.
func (c *Chooser) RecordResponse(id core.HostID, sentAt, age time.Duration, known bool) {
	p := c.peer(id)
	if p.waiting && sentAt >= p.waitingSince {
		p.waiting = false
	}
	if known && (!p.proven || sentAt-age > p.provenAt) {
		p.proven, p.provenAt = true, sentAt-age
	}
}

// Next returns the plan for now, given the age of the host's own data, if known, and
// whether the host can read the store. The caller must send the request if one is due.
func (c *Chooser) Next(now, age time.Duration, known, storeReadable bool) Plan {
	c.dropFailedHub(now)
	if best := c.best(now, storeReadable); best != c.current {
		c.current, c.chosenAt = best, now
		c.peer(best).lastRequest = now - RequestInterval
	}
	plan := Plan{Hub: c.current, ReadStore: c.hasSubscribers(now) || !known || age > staleAfter}
	if c.current == "" {
		plan.ReadStore = true
		return plan
	}
	p := c.peer(c.current)
	if now-p.lastRequest >= RequestInterval {
		plan.RequestDue, p.lastRequest = true, now
		if !p.waiting {
			p.waiting, p.waitingSince = true, now
		}
	}
	return plan
}

// dropFailedHub drops the current hub, and avoids it for a while, if its response is
// overdue or its data is stale.
func (c *Chooser) dropFailedHub(now time.Duration) {
	if c.current == "" {
		return
	}
	p := c.peer(c.current)
	overdue := p.waiting && now-p.waitingSince > responseTimeout
	stale := p.proven && now-p.provenAt > staleAfter && now-c.chosenAt > settleTime
	if overdue || stale {
		p.avoidUntil, p.waiting, p.proven = now+avoidPeriod, false, false
		c.current = ""
	}
}

// usable reports whether a candidate may be the hub. A former hub whose response is overdue
// is avoided.
func (c *Chooser) usable(id core.HostID, now time.Duration) bool {
	p := c.peer(id)
	if p.waiting && now-p.waitingSince > responseTimeout {
		p.avoidUntil, p.waiting, p.proven = now+avoidPeriod, false, false
	}
	return p.linked && now >= p.avoidUntil
}

// best returns the first usable candidate, or an empty identifier.
func (c *Chooser) best(now time.Duration, storeReadable bool) core.HostID {
	all := c.candidates
	if !storeReadable {
		all = slices.Concat(c.candidates, c.reserve)
	}
	for _, id := range all {
		if c.usable(id, now) {
			return id
		}
	}
	return ""
}

// hasSubscribers drops subscribers that have stopped sending requests, and reports whether
// any are left.
func (c *Chooser) hasSubscribers(now time.Duration) bool {
	for id, lastRequest := range c.subscribers {
		if now-lastRequest > subscriberTTL {
			delete(c.subscribers, id)
		}
	}
	return len(c.subscribers) > 0
}

// Subscribers returns the hosts that use this one as their hub.
func (c *Chooser) Subscribers() []core.HostID {
	ids := make([]core.HostID, 0, len(c.subscribers))
	for id := range c.subscribers {
		ids = append(ids, id)
	}
	return ids
}

// Hub returns the current hub, or an empty identifier.
func (c *Chooser) Hub() core.HostID { return c.current }
