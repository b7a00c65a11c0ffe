package hub

import (
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// RequestInterval is the time between two questions to the hub.
	RequestInterval = 400 * time.Millisecond
	// answerTimeout is how long an answer may take; links between data centres take some
	// milliseconds, and a hub on a small host some tens.
	answerTimeout = 350 * time.Millisecond
	// staleAfter is the age of a hub's knowledge from which another source is used. It
	// leaves most of the two seconds in which a leaving target must get no more work.
	staleAfter = 1200 * time.Millisecond
	// settleTime is how long a hub that was just chosen may have old knowledge: the question
	// makes it read the store.
	settleTime = time.Second
	// avoidPeriod keeps a hub that did not answer, or knew nothing recent, from being chosen.
	avoidPeriod = 2 * time.Second
	// subscriberTTL is the time without a question after which an asker counts as gone.
	subscriberTTL = 1500 * time.Millisecond
)

// Chooser is the state of the choice. Only one goroutine uses it.
type Chooser struct {
	candidates []core.HostID
	reserve    []core.HostID // asked only while the host cannot read the store by itself
	peers      map[core.HostID]*peer
	current    core.HostID
	since      time.Duration                 // when current was chosen
	askers     map[core.HostID]time.Duration // last question of each
}

// NewChooser returns a chooser without candidates.
func NewChooser() *Chooser {
	return &Chooser{peers: map[core.HostID]*peer{}, askers: map[core.HostID]time.Duration{}}
}

// SetCandidates replaces the candidates and the reserve, best first.
func (c *Chooser) SetCandidates(hosts, reserve []core.Host) {
	c.candidates, c.reserve = idsOf(hosts), idsOf(reserve)
}

func idsOf(hosts []core.Host) []core.HostID {
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

// SetLinked notes that the link to a host is up or down.
func (c *Chooser) SetLinked(id core.HostID, up bool) {
	p := c.peer(id)
	p.linked, p.waiting, p.proven = up, false, false
	if !up && c.current == id {
		c.current = ""
	}
}

// RecordRequest notes a question of another host, for which this one is the hub.
func (c *Chooser) RecordRequest(by core.HostID, now time.Duration) { c.askers[by] = now }

// RecordResponse notes the answer to a question that was sent at a moment, and the age of the
// hub's knowledge when it answered.
func (c *Chooser) RecordResponse(id core.HostID, sentAt, age time.Duration, known bool) {
	p := c.peer(id)
	if p.waiting && sentAt >= p.asked {
		p.waiting = false
	}
	if known && (!p.proven || sentAt-age > p.provenAt) {
		p.proven, p.provenAt = true, sentAt-age
	}
}

// Next returns what to do now, given how old the host's knowledge is by proof, and
// whether it can read the store by itself. A question that is due counts as sent.
func (c *Chooser) Next(now, age time.Duration, known, reads bool) Plan {
	c.dropSilent(now)
	if best := c.best(now, reads); best != c.current {
		c.current, c.since = best, now
		c.peer(best).askedAt = now - RequestInterval
	}
	plan := Plan{Hub: c.current, ReadStore: c.hasAskers(now) || !known || age > staleAfter}
	if c.current == "" {
		plan.ReadStore = true
		return plan
	}
	p := c.peer(c.current)
	if now-p.askedAt >= RequestInterval {
		plan.RequestDue, p.askedAt = true, now
		if !p.waiting {
			p.waiting, p.asked = true, now
		}
	}
	return plan
}

// dropSilent avoids a hub whose answer is overdue, or whose knowledge is old.
func (c *Chooser) dropSilent(now time.Duration) {
	if c.current == "" {
		return
	}
	p := c.peer(c.current)
	overdue := p.waiting && now-p.asked > answerTimeout
	stale := p.proven && now-p.provenAt > staleAfter && now-c.since > settleTime
	if overdue || stale {
		p.avoidUntil, p.waiting, p.proven = now+avoidPeriod, false, false
		c.current = ""
	}
}

// fits reports whether a candidate may be the hub. One that still owes an answer from
// when it was the hub before may not.
func (c *Chooser) fits(id core.HostID, now time.Duration) bool {
	p := c.peer(id)
	if p.waiting && now-p.asked > answerTimeout {
		p.avoidUntil, p.waiting, p.proven = now+avoidPeriod, false, false
	}
	return p.linked && now >= p.avoidUntil
}

// best returns the first candidate that may be the hub, or none.
func (c *Chooser) best(now time.Duration, reads bool) core.HostID {
	all := c.candidates
	if !reads {
		all = slices.Concat(c.candidates, c.reserve)
	}
	for _, id := range all {
		if c.fits(id, now) {
			return id
		}
	}
	return ""
}

func (c *Chooser) hasAskers(now time.Duration) bool {
	for id, at := range c.askers {
		if now-at > subscriberTTL {
			delete(c.askers, id)
		}
	}
	return len(c.askers) > 0
}

// Subscribers returns the hosts that this one is the hub of.
func (c *Chooser) Subscribers() []core.HostID {
	ids := make([]core.HostID, 0, len(c.askers))
	for id := range c.askers {
		ids = append(ids, id)
	}
	return ids
}

// Hub returns the current hub, or none.
func (c *Chooser) Hub() core.HostID { return c.current }
