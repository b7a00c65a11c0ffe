package placement

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// peerLoadTTL is the age at which another host's account of its work says nothing any
// more; hosts report once a second and whenever it changes.
const peerLoadTTL = 3 * time.Second

// peers sums the work of the other hosts.
type peers struct {
	hosts  map[core.HostID]*peerLoad
	totals map[core.TargetID]Load
}

func newPeers() *peers {
	return &peers{hosts: map[core.HostID]*peerLoad{}, totals: map[core.TargetID]Load{}}
}

// report takes over a host's account. Grants up to the given number are part of it, or
// were not used.
func (p *peers) report(host core.HostID, loads map[core.TargetID]Load, granted uint64, now time.Duration) {
	known := p.hosts[host]
	if known == nil {
		known = &peerLoad{}
		p.hosts[host] = known
	}
	p.subtract(known.loads)
	known.loads, known.at = loads, now
	p.add(loads)
	kept := known.grants[:0]
	for _, g := range known.grants {
		if g.number > granted {
			kept = append(kept, g)
			continue
		}
		p.subtract(g.loads)
	}
	known.grants = kept
}

// grant counts a placement until the host reports it.
func (p *peers) grant(host core.HostID, number uint64, loads map[core.TargetID]Load, now time.Duration) {
	known := p.hosts[host]
	if known == nil {
		known = &peerLoad{at: now}
		p.hosts[host] = known
	}
	known.grants = append(known.grants, grant{number: number, loads: loads})
	p.add(loads)
}

// expire drops hosts that have not reported for a while.
func (p *peers) expire(now time.Duration) {
	for host, known := range p.hosts {
		if now-known.at >= peerLoadTTL {
			p.forget(host)
		}
	}
}

func (p *peers) forget(host core.HostID) {
	known := p.hosts[host]
	if known == nil {
		return
	}
	p.subtract(known.loads)
	for _, g := range known.grants {
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
		left := p.totals[id].minus(load)
		if left == (Load{}) {
			delete(p.totals, id)
			continue
		}
		p.totals[id] = left
	}
}
