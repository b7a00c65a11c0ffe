package pool

import (
	"slices"
	"strings"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/fairness"
	"siskintide.example/siskintide/internal/decide/forecast"
)

// Pool is the owner's state of all targets that it owns in one pool.
type Pool struct {
	id        core.PoolID
	self      core.HostID
	settings  Settings
	frozen    bool
	targets   map[core.TargetID]*targetState
	order     []*targetState // targets sorted by ID
	tickets   map[core.GenerationID]*ticketState
	queue     *fairness.Queue
	answered  *recentIDs // requests that were granted, refused or withdrawn
	closed    *recentIDs // tickets that were closed with a certain end, by the time of the close
	unstarted *recentIDs // released tickets whose streams are cancelled if they still start
	hints     *prefixHints
	estimator *forecast.Estimator
	margin    forecast.SafetyMargin
	rate      rate
	lastEvent time.Time // time of the last event
}

// New returns a pool without targets.
func New(id core.PoolID, self core.HostID, settings Settings) *Pool {
	return &Pool{
		id:        id,
		self:      self,
		settings:  settings.withDefaults(),
		targets:   map[core.TargetID]*targetState{},
		tickets:   map[core.GenerationID]*ticketState{},
		queue:     fairness.NewQueue(),
		answered:  newRecentIDs(),
		closed:    newRecentIDs(),
		unstarted: newRecentIDs(),
		hints:     newPrefixHints(),
		estimator: forecast.NewEstimator(),
		margin:    forecast.NewSafetyMargin(),
	}
}

// SetSettings replaces the bounds of the pool. Requests already queued stay queued.
func (p *Pool) SetSettings(settings Settings) { p.settings = settings.withDefaults() }

// SetTeamWeights replaces the weights by which teams share the pool.
func (p *Pool) SetTeamWeights(weights map[core.TeamID]int) { p.queue.SetWeights(weights) }

// SetFrozen stops or allows the growth of all stream limits. A host that still owns
// targets although its lease was not renewed freezes their limits.
func (p *Pool) SetFrozen(frozen bool) {
	p.frozen = frozen
	for _, target := range p.order {
		target.limit.SetFrozen(frozen)
	}
}

// SetTarget adds an owned target or changes its declaration. A target that had another
// owner before gets no tickets until a report shows all streams that the former owner's
// tickets can have started.
func (p *Pool) SetTarget(spec core.Target, kind core.TargetKind, fence core.Fence, accepts bool, now time.Time) []Effect {
	target := p.targets[spec.ID]
	if target == nil {
		target = newTargetState()
		target.limit.SetFrozen(p.frozen)
		p.targets[spec.ID] = target
		p.order = append(p.order, target)
	}
	if target.fence != fence {
		target.acquire(fence, now)
	}
	if target.spec.Address != spec.Address {
		target.reported = false
	}
	target.spec = spec
	target.kind = kind
	target.accepts = accepts
	target.limit.SetBounds(kind.ColdStreams, kind.WarmStreams)
	slices.SortFunc(p.order, func(a, b *targetState) int { return strings.Compare(string(a.spec.ID), string(b.spec.ID)) })
	return p.schedule(now)
}

// acquire records a new ownership. Only the first owner (fence 1) is certain that no other
// host has issued tickets.
func (t *targetState) acquire(fence core.Fence, now time.Time) {
	t.fence = fence
	t.acquiredAt = now
	t.takenOver = fence > 1
	t.settled = !t.takenOver
}

// RemoveTarget removes a target that the host no longer owns. Its streams continue and are
// counted by the next owner.
func (p *Pool) RemoveTarget(id core.TargetID, now time.Time) []Effect {
	target := p.targets[id]
	if target == nil {
		return nil
	}
	for _, ticket := range target.tickets.ordered {
		delete(p.tickets, ticket.request.Generation)
	}
	delete(p.targets, id)
	p.order = slices.DeleteFunc(p.order, func(t *targetState) bool { return t == target })
	return p.schedule(now)
}

// HandleHostLost refuses the queued requests of a lost entry host. Its tickets stay in use
// until the targets' reports show that their streams have ended.
func (p *Pool) HandleHostLost(host core.HostID, now time.Time) []Effect {
	lost := p.queue.Filter(func(e *fairness.Entry) bool { return e.Request.EntryHost == host })
	var effects []Effect
	for _, entry := range lost {
		p.queue.Remove(entry.Request.Generation)
		gone := newRefusal(core.RefusedNoCapacity, "the entry host was lost", minRetryAfter)
		effects = append(effects, p.refuse(entry.Request, *gone, now))
	}
	for _, ticket := range p.tickets {
		if ticket.request.EntryHost == host {
			ticket.orphan(p.releaseAt(now))
		}
	}
	return append(effects, p.schedule(now)...)
}

// ReconcileHeldTickets compares the tickets with an entry host's list of those that it
// still holds. A ticket that must have reached the host by now and is not in the list will
// not be closed any more.
func (p *Pool) ReconcileHeldTickets(host core.HostID, held []core.GenerationID, now time.Time) []Effect {
	holds := make(map[core.GenerationID]bool, len(held))
	for _, generation := range held {
		holds[generation] = true
	}
	for generation, ticket := range p.tickets {
		arrived := now.After(ticket.lastStart.Add(settleMargin))
		if ticket.request.EntryHost == host && arrived && !holds[generation] {
			ticket.orphan(p.releaseAt(now))
		}
	}
	return p.schedule(now)
}

func (p *Pool) releaseAt(now time.Time) time.Time {
	return now.Add(p.settings.ReleaseAfter)
}

// Tick forgets old generations, releases orphaned tickets, refuses requests whose queue
// budget has ended and grants those that fit. It is called periodically.
func (p *Pool) Tick(now time.Time) []Effect {
	p.answered.Expire(now)
	p.closed.Expire(now)
	p.unstarted.Expire(now)
	for _, target := range p.order {
		p.expireOrphans(target, now)
		target.settleUnlisted(p.settings.ReleaseAfter, now)
		target.dirty = true
	}
	return p.schedule(now)
}

// NextTick returns the earliest deadline of a queued request, or a second from now if that
// is earlier.
func (p *Pool) NextTick(now time.Time) time.Time {
	next := now.Add(time.Second)
	p.queue.Filter(func(e *fairness.Entry) bool {
		if e.Deadline().Before(next) {
			next = e.Deadline()
		}
		return false
	})
	return next
}
