package placement

import (
	"maps"
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
	"siskintide.example/siskintide/internal/decide/prefixcache"
)

// Balancer tracks the load and the health of all targets and chooses among them. It is
// not safe for concurrent use.
type Balancer struct {
	own         map[core.TargetID]Load
	health      map[core.TargetID]*targetHealth
	peers       *peers
	unreachable map[core.DataCentreID]map[core.TargetID]time.Duration // when each target was last found unreachable
	hubRates    map[core.TargetID]float64                             // failure rates received from the hub
	prefixes    *prefixcache.Cache                                    // parts of prompts placed at each target
	pace        *pace.Tracker
}

// NewBalancer returns a balancer without load or outcomes.
func NewBalancer() *Balancer {
	return &Balancer{own: map[core.TargetID]Load{}, health: map[core.TargetID]*targetHealth{}, peers: newPeers(), unreachable: map[core.DataCentreID]map[core.TargetID]time.Duration{}, prefixes: prefixcache.NewCache(), pace: pace.NewTracker()}
}

// Add counts load that this host places on a target.
func (b *Balancer) Add(id core.TargetID, load Load) { b.own[id] = b.own[id].plus(load) }

// Remove subtracts load that has ended.
func (b *Balancer) Remove(id core.TargetID, load Load) {
	rest := b.own[id].minus(load)
	if rest == (Load{}) {
		delete(b.own, id)
		return
	}
	b.own[id] = rest
}

// OwnLoad returns a copy of this host's load by target.
func (b *Balancer) OwnLoad() map[core.TargetID]Load {
	loads := make(map[core.TargetID]Load, len(b.own))
	for id, load := range b.own {
		loads[id] = load
	}
	return loads
}

// SetPeerLoad replaces the load that another host reported. Grants with a number up to
// lastPlacement are dropped: they are included in the report, or were not used.
func (b *Balancer) SetPeerLoad(host core.HostID, loads map[core.TargetID]Load, lastPlacement uint64, now time.Duration) {
	b.peers.report(host, loads, lastPlacement, now)
}

// AddPeerGrant counts the load of a placement granted to another host until the host's
// report includes it.
func (b *Balancer) AddPeerGrant(host core.HostID, number uint64, loads map[core.TargetID]Load, now time.Duration) {
	b.peers.grant(host, number, loads, now)
}

// ForgetPeer drops the load of a host that is gone.
func (b *Balancer) ForgetPeer(host core.HostID) { b.peers.forget(host) }

// Expire drops the load of hosts that have not reported for peerLoadTTL, the time for which targets that
// are gone have asked to be sent nothing once it is over, and prefixes of targets that got no request for long.
func (b *Balancer) Expire(now time.Duration) {
	b.peers.expire(now)
	b.prefixes.Expire(now)
	b.pace.Refresh(now)
	maps.DeleteFunc(b.health, func(_ core.TargetID, health *targetHealth) bool {
		return health.removed && now >= health.restsUntil
	})
}

// Forget drops all that is recorded of a target that has restarted.
func (b *Balancer) Forget(id core.TargetID) {
	delete(b.health, id)
	b.prefixes.Forget(id)
	b.pace.Forget(id)
}

// ForgetRemoved drops the recorded outcomes and prefixes of a target whose entry has been removed. It may only be missing for
// a while, so the time for which it has asked to be sent nothing is kept.
func (b *Balancer) ForgetRemoved(id core.TargetID) {
	b.prefixes.Forget(id)
	b.pace.Forget(id)
	if health := b.health[id]; health != nil {
		b.health[id] = &targetHealth{restsUntil: health.restsUntil, removed: true}
	}
}

// RequestsAt returns the number of requests of all hosts that run at a target.
func (b *Balancer) RequestsAt(id core.TargetID) int { return b.load(id).Requests }

// load returns the load of all hosts on a target.
func (b *Balancer) load(id core.TargetID) Load {
	return b.own[id].plus(b.peers.totals[id])
}
