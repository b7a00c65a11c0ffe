package fairness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const maxIdleAccounts = 4096 // bounds the memory for teams without waiting requests

// Queue holds waiting requests. It implements start-time fair queueing over teams, in
// which the cost of a request is its number of tokens.
type Queue struct {
	accounts map[core.TeamID]*account
	entries  map[core.GenerationID]*Entry
	weights  map[core.TeamID]int
	levels   map[core.Priority]int // number of waiting requests of each priority
	virtual  float64               // virtual time of the team served last
}

// NewQueue returns an empty queue.
func NewQueue() *Queue {
	return &Queue{
		accounts: map[core.TeamID]*account{},
		entries:  map[core.GenerationID]*Entry{},
		levels:   map[core.Priority]int{},
	}
}

// SetWeights replaces the weights of all teams. A team without a weight gets 1.
func (q *Queue) SetWeights(weights map[core.TeamID]int) {
	q.weights = maps.Clone(weights)
	for team, account := range q.accounts {
		account.weight = q.weight(team)
	}
}

func (q *Queue) weight(team core.TeamID) float64 { return float64(max(q.weights[team], 1)) }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether a request of the generation is waiting.
func (q *Queue) Has(id core.GenerationID) bool { return q.entries[id] != nil }

// Push adds a request. It does nothing if the generation already waits.
func (q *Queue) Push(request core.TicketRequest, now time.Time) {
	if q.Has(request.Generation) {
		return
	}
	account := q.account(request.Team)
	if account.entries == 0 {
		account.virtual = max(account.virtual, q.virtual)
	}
	entry := &Entry{Request: request, EnqueuedAt: now}
	account.waiting[request.Priority] = append(account.waiting[request.Priority], entry)
	account.entries++
	q.levels[request.Priority]++
	q.entries[request.Generation] = entry
}

// Remove removes a request and returns its entry, or nil if it does not wait.
func (q *Queue) Remove(id core.GenerationID) *Entry {
	entry := q.entries[id]
	if entry == nil {
		return nil
	}
	account := q.accounts[entry.Request.Team]
	priority := entry.Request.Priority
	waiting := account.waiting[priority]
	i := slices.Index(waiting, entry)
	account.waiting[priority] = slices.Delete(waiting, i, i+1)
	if len(account.waiting[priority]) == 0 {
		delete(account.waiting, priority)
	}
	account.entries--
	q.levels[priority]--
	if q.levels[priority] == 0 {
		delete(q.levels, priority)
	}
	delete(q.entries, id)
	return entry
}

// Serve removes a request that is being served, and charges its team the expected number
// of tokens.
func (q *Queue) Serve(id core.GenerationID, expected core.Tokens) {
	entry := q.Remove(id)
	if entry == nil {
		return
	}
	q.virtual = max(q.virtual, q.accounts[entry.Request.Team].virtual)
	q.Charge(entry.Request.Team, expected)
}

// Charge adds to the tokens that a team has been served. A negative number corrects a
// charge that was too high.
func (q *Queue) Charge(team core.TeamID, tokens core.Tokens) {
	account := q.account(team)
	account.virtual += float64(tokens) / account.weight
}

// Heads returns the first waiting request of each team and priority, in the order in which
// they should be served.
func (q *Queue) Heads() []*Entry {
	heads := make([]*Entry, 0, len(q.accounts))
	for _, account := range q.accounts {
		for _, waiting := range account.waiting {
			heads = append(heads, waiting[0])
		}
	}
	slices.SortFunc(heads, q.compare)
	return heads
}

func (q *Queue) compare(a, b *Entry) int {
	return cmp.Or(
		cmp.Compare(a.Request.Priority, b.Request.Priority),
		cmp.Compare(q.accounts[a.Request.Team].virtual, q.accounts[b.Request.Team].virtual),
		cmp.Compare(a.Request.Team, b.Request.Team),
	)
}

// Filter returns the waiting requests that accept returns true for, oldest first.
func (q *Queue) Filter(accept func(*Entry) bool) []*Entry {
	var found []*Entry
	for _, entry := range q.entries {
		if accept(entry) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b *Entry) int {
		return cmp.Or(a.EnqueuedAt.Compare(b.EnqueuedAt), slices.Compare(a.Request.Generation[:], b.Request.Generation[:]))
	})
	return found
}

// Position estimates the position in the order of service that a new request of the team
// would get: behind all requests of higher priority, and among those of its own priority
// in proportion to the weights.
func (q *Queue) Position(team core.TeamID, priority core.Priority) int {
	higher := 0
	for level, count := range q.levels {
		if level < priority {
			higher += count
		}
	}
	own, weights := 0, q.weight(team)
	for id, account := range q.accounts {
		waiting := len(account.waiting[priority])
		if id == team {
			own = waiting
		} else if waiting > 0 {
			weights += account.weight
		}
	}
	fair := int(float64(own+1) * weights / q.weight(team))
	return higher + min(fair, q.levels[priority]+1)
}

func (q *Queue) account(team core.TeamID) *account {
	found := q.accounts[team]
	if found == nil {
		q.prune()
		found = &account{team: team, weight: q.weight(team), virtual: q.virtual, waiting: map[core.Priority][]*Entry{}}
		q.accounts[team] = found
	}
	return found
}

// prune drops the accounts of teams without waiting requests whose virtual time is not
// ahead of the queue's, once there are maxIdleAccounts accounts.
func (q *Queue) prune() {
	if len(q.accounts) < maxIdleAccounts {
		return
	}
	maps.DeleteFunc(q.accounts, func(_ core.TeamID, a *account) bool {
		return a.entries == 0 && a.virtual <= q.virtual
	})
}
