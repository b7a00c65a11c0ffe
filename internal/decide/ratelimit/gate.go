package ratelimit

import (
	"math"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// priorityWeight is how many permits a priority gets for each one of the next lower priority
	// while both have requests.
	priorityWeight = 4.0
	// minRetryAfter keeps callers from coming back at once.
	minRetryAfter = 50 * time.Millisecond
	// maxWaiting bounds the requests that wait.
	maxWaiting = 512
)

// Gate decides which requests of a pool get the permits of its targets while all of them are
// limited. It is not safe for concurrent use.
type Gate struct {
	waiting    []Waiter
	promises   []promise // by due time
	priorities *turns[core.Priority]
	teams      map[core.Priority]*turns[core.TeamID]
	demand     *demand
	lastDue    map[flow]time.Duration // of the last promise of each flow
	returning  float64                // share of the promises whose callers come back
}

// NewGate returns a gate without requests.
func NewGate() *Gate {
	return &Gate{priorities: newTurns[core.Priority](), teams: map[core.Priority]*turns[core.TeamID]{}, demand: newDemand(), lastDue: map[flow]time.Duration{}, returning: 1}
}

// Len returns the number of waiting requests.
func (g *Gate) Len() int { return len(g.waiting) }

// Open reports whether a request that was promised no permit may use one now: all that wait, and all
// callers that were told when to come back, still get theirs in time.
func (g *Gate) Open(supply Supply, now time.Duration) bool {
	g.dropPromises(now)
	return g.spare(supply, len(g.waiting), now)
}

// spare reports whether a permit can be used in addition to those of a number of requests and to the
// promised ones.
func (g *Gate) spare(supply Supply, others int, now time.Duration) bool {
	if supply.Available <= others {
		return false
	}
	for i, p := range g.promises {
		if supply.Until(others+1+g.expected(i+1)) > max(p.due+promiseLag-now, 0) {
			return false
		}
	}
	return true
}

// Record counts a permit that a request has used.
func (g *Gate) Record(team core.TeamID, priority core.Priority, now time.Duration) {
	g.demand.record(flow{priority, team}, now)
	g.priorities.record(priority, weight(priority))
	g.teamTurns(priority).record(team, 1)
}

// Arrive decides on a request. It also returns the waiting requests, the new one possibly among
// them, that get no permit in time because of it.
func (g *Gate) Arrive(w Waiter, promised bool, supply Supply, now time.Duration) (Verdict, []Rejection) {
	w.promised, w.until = promised, now+max(w.MaxWait, 0)
	g.recordDemand(flow{w.Priority, w.Team}, now)
	if promised {
		w.until = now + w.LongestWait()
	}
	if promised && supply.Available > 0 || g.Open(supply, now) {
		return Admitted, nil
	}
	g.waiting = append(g.waiting, w)
	verdict := Waiting
	var rejections []Rejection
	for len(g.waiting) > 0 && (len(g.waiting) > maxWaiting || !g.served(supply, now)) {
		last := g.last()
		rejected := g.waiting[last]
		g.waiting = slices.Delete(g.waiting, last, last+1)
		if rejected.ID == w.ID {
			verdict = Rejected
		}
		rejections = append(rejections, g.reject(rejected, supply, now))
	}
	return verdict, rejections
}

// served reports whether all waiting requests get a permit in time, the last one after all others
// and after the promises that are due before.
func (g *Gate) served(supply Supply, now time.Duration) bool {
	last := &g.waiting[g.last()]
	if last.promised {
		return true
	}
	until, ahead, promised := last.until, len(g.waiting), 0
	for _, p := range g.promises {
		if p.due <= until {
			promised++
		}
	}
	return now+supply.Until(ahead+g.expected(promised)) <= until
}

// Next removes the waiting request whose turn it is, if it may use a permit now.
func (g *Gate) Next(supply Supply, now time.Duration) (Waiter, bool) {
	g.dropPromises(now)
	if len(g.waiting) == 0 || supply.Available <= 0 {
		return Waiter{}, false
	}
	at := 0
	for i := range g.waiting {
		if g.before(&g.waiting[i], &g.waiting[at]) {
			at = i
		}
	}
	next := g.waiting[at]
	if !next.promised && !g.spare(supply, 0, now) {
		return Waiter{}, false
	}
	g.waiting = slices.Delete(g.waiting, at, at+1)
	return next, true
}

// TakeAll removes all waiting requests.
func (g *Gate) TakeAll() []Waiter {
	all := g.waiting
	g.waiting = nil
	return all
}

// Expire removes the requests that cannot wait any longer.
func (g *Gate) Expire(supply Supply, now time.Duration) []Rejection {
	var rejections []Rejection
	for i := 0; i < len(g.waiting); {
		if w := g.waiting[i]; now >= w.until {
			g.waiting = slices.Delete(g.waiting, i, i+1)
			rejections = append(rejections, g.reject(w, supply, now))
			continue
		}
		i++
	}
	return rejections
}

// Due returns the time at which the first waiting request cannot wait any longer.
func (g *Gate) Due() time.Duration {
	due := time.Duration(math.MaxInt64)
	for i := range g.waiting {
		due = min(due, g.waiting[i].until)
	}
	return due
}

// before reports whether a request gets a permit before another one.
func (g *Gate) before(a, b *Waiter) bool {
	if a.promised != b.promised {
		return a.promised
	}
	if x, y := g.priorities.start(a.Priority), g.priorities.start(b.Priority); x != y {
		return x < y
	}
	if a.Priority != b.Priority {
		return a.Priority < b.Priority
	}
	if x, y := g.teamTurns(a.Priority).start(a.Team), g.teamTurns(b.Priority).start(b.Team); x != y {
		return x < y
	}
	return a.until < b.until
}

// last returns the index of the waiting request that gets a permit after all others.
func (g *Gate) last() int {
	at := 0
	for i := range g.waiting {
		if g.before(&g.waiting[at], &g.waiting[i]) {
			at = i
		}
	}
	return at
}

// recordDemand records a request of a flow, and forgets the flows without requests.
func (g *Gate) recordDemand(f flow, now time.Duration) {
	for _, gone := range g.demand.expire(now) {
		delete(g.lastDue, gone)
		g.teamTurns(gone.priority).prune()
	}
	g.demand.record(f, now)
}

func (g *Gate) teamTurns(priority core.Priority) *turns[core.TeamID] {
	if g.teams[priority] == nil {
		g.teams[priority] = newTurns[core.TeamID]()
	}
	return g.teams[priority]
}

// weight returns the share of a priority relative to the others.
func weight(priority core.Priority) float64 {
	return math.Pow(priorityWeight, -float64(min(max(priority, 0), 9)))
}
