package fairness

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const maxIdleAccounts = 4096 // bounds the memory that teams without waiting requests take

// Queue holds waiting requests. It is start-time fair queueing over teams, with the
// number of tokens as the cost of a request.
type Queue struct {
	accounts map[core.TeamID]*account
	entries  map[core.GenerationID]*Entry
	weights  map[core.TeamID]int
	levels   map[core.Priority]int // waiting requests of each priority
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

// SetWeights replaces the weights of all teams; a team without one weighs 1.
func (q *Queue) SetWeights(weights map[core.TeamID]int) {
	q.weights = maps.Clone(weights)
	for team, account := range q.accounts {
		account.weight = q.weight(team)
	}
}

func (q *Queue) weight(team core.TeamID) float64 { return float64(max(q.weights[team], 1)) }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.entries) }

// Has reports whether the generation waits.
func (q *Queue) Has(id core.GenerationID) bool { return q.entries[id] != nil }

// Push adds a request. A generation that already waits is left as it is.
func (q *Queue) Push(demand core.TicketRequest, now time.Time) {
	if q.Has(demand.Generation) {
		return
	}
	account := q.account(demand.Team)
	if account.entries == 0 {
		account.virtual = max(account.virtual, q.virtual)
	}
	entry := &Entry{Demand: demand, EnqueuedAt: now}
	account.waiting[demand.Priority] = append(account.waiting[demand.Priority], entry)
	account.entries++
	q.levels[demand.Priority]++
	q.entries[demand.Generation] = entry
}

// Remove takes a request out and returns it, or nil if it does not wait.
func (q *Queue) Remove(id core.GenerationID) *Entry {
	entry := q.entries[id]
	if entry == nil {
		return nil
	}
	account := q.accounts[entry.Demand.Team]
	priority := entry.Demand.Priority
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

// Serve takes a request out that is being served, and charges its team the tokens that
// it is expected to take.
func (q *Queue) Serve(id core.GenerationID, expected core.Tokens) {
	entry := q.Remove(id)
	if entry == nil {
		return
	}
	q.virtual = max(q.virtual, q.accounts[entry.Demand.Team].virtual)
	q.Charge(entry.Demand.Team, expected)
}

// Charge corrects the tokens that a team has been served; the number may be negative.
func (q *Queue) Charge(team core.TeamID, tokens core.Tokens) {
	account := q.account(team)
	account.virtual += float64(tokens) / account.weight
}

// Heads returns the first waiting request of each team and priority, in the order in
// which they should be served.
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
		cmp.Compare(a.Demand.Priority, b.Demand.Priority),
		cmp.Compare(q.accounts[a.Demand.Team].virtual, q.accounts[b.Demand.Team].virtual),
		cmp.Compare(a.Demand.Team, b.Demand.Team),
	)
}

// Filter returns every waiting request that the filter accepts, oldest first.
func (q *Queue) Filter(accept func(*Entry) bool) []*Entry {
	var found []*Entry
	for _, entry := range q.entries {
		if accept(entry) {
			found = append(found, entry)
		}
	}
	slices.SortFunc(found, func(a, b *Entry) int {
		return cmp.Or(a.EnqueuedAt.Compare(b.EnqueuedAt), slices.Compare(a.Demand.Generation[:], b.Demand.Generation[:]))
	})
	return found
}

// Position estimates as which of the waiting requests a new one of the team would be
// served: after all of higher priority, and among its own in proportion to the weights.
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

// prune forgets teams that have nothing waiting and no debt.
func (q *Queue) prune() {
	if len(q.accounts) < maxIdleAccounts {
		return
	}
	maps.DeleteFunc(q.accounts, func(_ core.TeamID, a *account) bool {
		return a.entries == 0 && a.virtual <= q.virtual
	})
}
