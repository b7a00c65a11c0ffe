package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// peerLoadTTL is the age at which another host's reported load is dropped; hosts report
// once a second and whenever their load changes.
const peerLoadTTL = 3 * time.Second

// peers sums the load of the other hosts.
type peers struct {
	hosts  map[core.HostID]*peerLoad
	totals map[core.TargetID]Load
}

func newPeers() *peers {
	return &peers{hosts: map[core.HostID]*peerLoad{}, totals: map[core.TargetID]Load{}}
}

// report replaces a host's load and drops its grants with a number up to lastPlacement.
func (p *peers) report(host core.HostID, loads map[core.TargetID]Load, lastPlacement uint64, now time.Duration) {
	peer := p.hosts[host]
	if peer == nil {
		peer = &peerLoad{}
		p.hosts[host] = peer
	}
	p.subtract(peer.loads)
	peer.loads, peer.at = loads, now
	p.add(loads)
	kept := peer.grants[:0]
	for _, g := range peer.grants {
		if g.number > lastPlacement {
			kept = append(kept, g)
			continue
		}
		p.subtract(g.loads)
	}
	peer.grants = kept
}

// grant counts a placement until the host's report includes it.
func (p *peers) grant(host core.HostID, number uint64, loads map[core.TargetID]Load, now time.Duration) {
	peer := p.hosts[host]
	if peer == nil {
		peer = &peerLoad{at: now}
		p.hosts[host] = peer
	}
	peer.grants = append(peer.grants, grant{number: number, loads: loads})
	p.add(loads)
}

// expire drops hosts whose last report is peerLoadTTL old.
func (p *peers) expire(now time.Duration) {
	for host, peer := range p.hosts {
		if now-peer.at >= peerLoadTTL {
			p.forget(host)
		}
	}
}

func (p *peers) forget(host core.HostID) {
	peer := p.hosts[host]
	if peer == nil {
		return
	}
	p.subtract(peer.loads)
	for _, g := range peer.grants {
		p.subtract(g.loads)
	}
	delete(p.hosts, host)
}

func (p *peers) add(loads map[core.TargetID]Load) {
	for id, load := range loads {
		p.totals[id] = p.totals[id].plus(load)
	}
}

func (p *peers) subtract(loads map[core.TargetID]Load) {
	for id, load := range loads {
		rest := p.totals[id].minus(load)
		if rest == (Load{}) {
			delete(p.totals, id)
			continue
		}
		p.totals[id] = rest
	}
}
