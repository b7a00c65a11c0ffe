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
	// MaxAge is the age up to which a hub's data is used. With readAfter it stays below the two
	// seconds within which a leaving target must get no more work.
	MaxAge = 1200 * time.Millisecond
	// readAfter is the age of a host's data from which it reads the store itself although it has a
	// hub. It leaves a newly chosen hub the time to read the store and respond.
	readAfter = 1500 * time.Millisecond
	// settleTime is how long a newly chosen hub may have stale data, since a hub may start to
	// read the store only when it gets its first request.
	settleTime = time.Second
	// avoidPeriod is how long a hub that did not respond, or had no recent data, is not chosen.
	avoidPeriod = 2 * time.Second
	// maxOutdatedResponses is the number of responses in a row in which a hub has no recent data
	// and after which it is left. A hub that has just become one delays its first response for its
	// read of the store, but a slow store takes longer.
	maxOutdatedResponses = 2
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
	hosts       int                           // hosts of the deployment; zero if not known
	firstNext   time.Duration                 // first call of Next; zero before it
}

// NewChooser returns a chooser without candidates.
func NewChooser() *Chooser {
	return &Chooser{peers: map[core.HostID]*peer{}, subscribers: map[core.HostID]time.Duration{}}
}

// SetCandidates replaces the candidates and the reserve, best first, and the number of hosts of
// the deployment.
func (c *Chooser) SetCandidates(hosts, reserve []core.Host, count int) {
	c.candidates, c.reserve, c.hosts = hostIDs(hosts), hostIDs(reserve), count
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
	if up {
		p.avoidUntil, p.outdatedResponses = 0, 0 // what failed before may have been the link
	}
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
	if known && age <= MaxAge {
		p.outdatedResponses = 0
	}
}

// RecordOutdated records that a hub has responded that its data is not known to be recent.
func (c *Chooser) RecordOutdated(id core.HostID, now time.Duration) {
	p := c.peer(id)
	p.outdatedResponses++
	if id == c.current && p.outdatedResponses >= maxOutdatedResponses {
		p.avoid(now)
		c.current = ""
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
	plan := Plan{Hub: c.current, ReadStore: c.hasSubscribers(now) || c.lacksData(now, age, known)}
	if c.current == "" {
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

// lacksData reports whether a host without subscribers has to read the store, because its data is
// too old or it has none. A host that has just started waits for a hub to send it.
func (c *Chooser) lacksData(now, age time.Duration, known bool) bool {
	if c.firstNext == 0 {
		c.firstNext = now
	}
	ranksFirst := c.hosts > 0 && len(c.candidates) == 0
	switch {
	case !known:
		return ranksFirst || now-c.firstNext >= ReadInterval(c.hosts)/2
	case c.current == "":
		return age > min(ReadInterval(c.hosts), MaxAge)
	default:
		return age > readAfter
	}
}

// dropFailedHub drops the current hub, and avoids it for a while, if its response is
// overdue, its data is stale, or it has proven no data to be current.
func (c *Chooser) dropFailedHub(now time.Duration) {
	if c.current == "" {
		return
	}
	p := c.peer(c.current)
	overdue := p.waiting && now-p.waitingSince > responseTimeout
	stale := (!p.proven || now-p.provenAt > MaxAge) && now-c.chosenAt > settleTime
	if overdue || stale {
		p.avoid(now)
		c.current = ""
	}
}

// usable reports whether a candidate may be the hub. A former hub whose response is overdue
// is avoided.
func (c *Chooser) usable(id core.HostID, now time.Duration) bool {
	p := c.peer(id)
	if p.waiting && now-p.waitingSince > responseTimeout {
		p.avoid(now)
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

// LinkedFirst returns the first of all hosts if there is a link to it, or an empty identifier. It
// may be another host than the hub, for example while it cannot read the store.
func (c *Chooser) LinkedFirst() core.HostID {
	if len(c.candidates) == 0 || !c.peer(c.candidates[0]).linked {
		return ""
	}
	return c.candidates[0]
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

// SubscriberCount returns the number of hosts that use this one as their hub.
func (c *Chooser) SubscriberCount() int { return len(c.subscribers) }

// Hub returns the current hub, or an empty identifier.
func (c *Chooser) Hub() core.HostID { return c.current }
