package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Balancer knows the load of all targets. Only one goroutine uses it.
type Balancer struct {
	own     map[core.TargetID]Load
	records map[core.TargetID]*record
	peers   *peers
	silent  map[core.DataCentreID]map[core.TargetID]time.Duration // targets that fell silent, and when
	told    map[core.TargetID]float64                             // failure rates that the hub has told
}

// NewBalancer returns a book without load.
func NewBalancer() *Balancer {
	return &Balancer{own: map[core.TargetID]Load{}, records: map[core.TargetID]*record{}, peers: newPeers(), silent: map[core.DataCentreID]map[core.TargetID]time.Duration{}}
}

// Add counts work that this host gives a target.
func (b *Balancer) Add(id core.TargetID, load Load) { b.own[id] = b.own[id].plus(load) }

// Remove counts work that has ended.
func (b *Balancer) Remove(id core.TargetID, load Load) {
	left := b.own[id].minus(load)
	if left == (Load{}) {
		delete(b.own, id)
		return
	}
	b.own[id] = left
}

// OwnLoad returns a copy of this host's work by target.
func (b *Balancer) OwnLoad() map[core.TargetID]Load {
	loads := make(map[core.TargetID]Load, len(b.own))
	for id, load := range b.own {
		loads[id] = load
	}
	return loads
}

// SetPeerLoad takes over another host's account of its work. Grants up to the given number are
// part of it, or were not used.
func (b *Balancer) SetPeerLoad(host core.HostID, loads map[core.TargetID]Load, granted uint64, now time.Duration) {
	b.peers.report(host, loads, granted, now)
}

// AddPeerGrant counts a placement that another host was given until it reports it.
func (b *Balancer) AddPeerGrant(host core.HostID, number uint64, loads map[core.TargetID]Load, now time.Duration) {
	b.peers.grant(host, number, loads, now)
}

// ForgetPeer drops the work of a host that is gone.
func (b *Balancer) ForgetPeer(host core.HostID) { b.peers.forget(host) }

// Expire drops hosts that have not reported for a while.
func (b *Balancer) Expire(now time.Duration) { b.peers.expire(now) }

// Forget drops what is known of a target that is gone or has started again.
func (b *Balancer) Forget(id core.TargetID) { delete(b.records, id) }

// load returns the work of all hosts at a target.
func (b *Balancer) load(id core.TargetID) Load {
	return b.own[id].plus(b.peers.totals[id])
}
