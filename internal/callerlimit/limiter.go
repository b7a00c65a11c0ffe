package callerlimit

import (
	"container/list"
	"net"
	"sync"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// Limiter holds the budget of a host for its callers. It is safe for concurrent use.
type Limiter struct {
	options Options
	mu      sync.Mutex
	budget  *callerbudget.Budget
	// silent are the connections on which no request was admitted yet and none is being answered, oldest first. They
	// may be closed in favour of new ones.
	silent *list.List
	// readings are the requests whose bodies are not complete, oldest first.
	readings *list.List         // of *Reading
	reports  map[string]*report // by reason
}

// New returns a limiter.
func New(options Options) *Limiter {
	return &Limiter{options: options, budget: callerbudget.New(options.Limits), silent: list.New(), readings: list.New(), reports: map[string]*report{}}
}

// Share returns a share of the memory for a class, of which nothing is taken yet. That of a nil Limiter is not limited.
func (l *Limiter) Share(class callerbudget.Class, address string) *Share {
	return &Share{limiter: l, class: class, address: address}
}

// SetLimits changes the bounds of the budget at once. Nothing that is open or in work is closed.
func (l *Limiter) SetLimits(limits callerbudget.Limits) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.SetLimits(limits)
}

// take takes memory. It returns the reason if it must not.
func (l *Limiter) take(class callerbudget.Class, address string, n int64) callerbudget.Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(class, address, n)
}

// give returns memory.
func (l *Limiter) give(address string, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Give(address, n)
}

// admit takes a connection. If there is no room, the oldest silent connection is closed in its favour, and
// the new one is refused with a reason if there is none.
func (l *Limiter) admit(c *conn) callerbudget.Reason {
	l.mu.Lock()
	reason := l.budget.TakeConnection(c.address)
	var evicted *conn
	if reason != "" && !l.budget.Overdrawn() { // an eviction would not be enough otherwise
		evicted = l.evict(c.address, reason)
		if evicted != nil {
			reason = l.budget.TakeConnection(c.address)
		}
	}
	if reason == "" {
		c.silent = l.silent.PushBack(c)
	}
	l.mu.Unlock()
	if evicted != nil {
		l.count(reasonSilent, evicted.address)
		evicted.closeEvicted()
	}
	return reason
}

// evict returns the memory of the oldest silent connection, of the same address if that has its share. It returns
// nil if there is none.
func (l *Limiter) evict(address string, reason callerbudget.Reason) *conn {
	for e := l.silent.Front(); e != nil; e = e.Next() {
		c := e.Value.(*conn)
		if reason == callerbudget.AddressShare && c.address != address {
			continue
		}
		l.drop(c)
		return c
	}
	return nil
}

// drop returns what a connection has taken, once. The mutex is held.
func (l *Limiter) drop(c *conn) {
	if c.dropped {
		return
	}
	c.dropped = true
	l.heard(c)
	l.giveHeads(c)
	if c.detached {
		l.budget.GiveDetached(c.address)
		return
	}
	l.budget.GiveConnection(c.address)
}

// giveHeads returns the memory for the heads of a connection. The mutex is held.
func (l *Limiter) giveHeads(c *conn) {
	if c.taken > 0 {
		l.budget.Give(c.address, c.taken)
	}
	c.taken, c.open, c.heads = 0, 0, nil
}

// heard records that a connection has completed a head, or is gone. The mutex is held.
func (l *Limiter) heard(c *conn) {
	if c.silent != nil {
		l.silent.Remove(c.silent)
		c.silent = nil
	}
}

// CountRefusal counts a connection from an address with a port that was refused elsewhere, and logs it at a limited rate.
func (l *Limiter) CountRefusal(reason, address string) {
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	l.count(reason, address)
}

// count counts a refusal and logs it at a limited rate.
func (l *Limiter) count(reason, address string) {
	l.options.Metrics.CallerLimited(reason)
	now := l.options.Clock()
	l.mu.Lock()
	if l.reports[reason] == nil {
		l.reports[reason] = &report{}
	}
	count, due := l.reports[reason].add(now)
	used, connections := l.budget.Used(), l.budget.Connections()
	l.mu.Unlock()
	if due {
		l.options.Log.WithField("listener", l.options.Listener).WithField("reason", reason).WithField("count", count).WithField("address", address).
			WithField("connections", connections).WithField("used_bytes", used).Warn("callers refused")
	}
}
