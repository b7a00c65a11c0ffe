package peer

import (
	"context"
	"maps"

	"siskintide.example/siskintide/internal/core"
)

// table is the state of all links of a node. Only the goroutine of Node.Run touches it.
type table struct {
	node    *Node
	ctx     context.Context // ends every link and dial
	remotes map[core.HostID]*remote
}

func (t *table) remote(id core.HostID) *remote {
	r := t.remotes[id]
	if r == nil {
		r = newRemote(&t.node.options)
		t.remotes[id] = r
	}
	return r
}

// setPeers dials the hosts that are newly wanted and retires the links that this node
// opened to hosts that no longer are. Links that the other end opened stay.
func (t *table) setPeers(hosts []core.Host) {
	wanted := map[core.HostID]bool{}
	for _, host := range hosts {
		if host.ID == t.node.options.Self.ID {
			continue
		}
		wanted[host.ID] = true
		r := t.remote(host.ID)
		r.host = host
		r.wanted = true
		t.ensure(r)
	}
	for id, r := range t.remotes {
		if !wanted[id] {
			t.release(id, r)
		}
	}
}

func (t *table) release(id core.HostID, r *remote) {
	r.wanted = false
	if r.link == nil {
		t.forget(id, r)
		return
	}
	if r.link.dialer == t.node.options.Self.ID {
		t.retire(r.link)
	}
}

// forget drops an entry that nothing refers to any more.
func (t *table) forget(id core.HostID, r *remote) {
	if !r.wanted && r.link == nil && !r.pending {
		delete(t.remotes, id)
	}
}

// ensure starts a dial if the host is wanted and has no link.
func (t *table) ensure(r *remote) {
	if !r.wanted || r.link != nil || r.pending {
		return
	}
	r.pending = true
	host := r.host
	t.node.goroutines.Go(func() { t.node.dial(t.ctx, host) })
}

// redialLater starts a dial after the host's current delay.
func (t *table) redialLater(id core.HostID, r *remote) {
	if !r.wanted || r.link != nil || r.pending {
		t.forget(id, r)
		return
	}
	r.pending = true
	t.node.options.Clock.AfterFunc(r.backoff.NextBackOff(), func() {
		t.node.post(t.ctx, dialDue{host: id})
	})
}

func (t *table) dialDue(id core.HostID) {
	r := t.remote(id)
	r.pending = false
	t.ensure(r)
	t.forget(id, r)
}

func (t *table) dialFailed(id core.HostID, cause error) {
	r := t.remote(id)
	r.pending = false
	t.node.options.Log.WithError(cause).WithField("peer", id).Debug("could not link to peer")
	t.redialLater(id, r)
}

func (t *table) addLink(l *link) {
	r := t.remote(l.peer)
	if l.dialer == t.node.options.Self.ID {
		r.pending = false
	}
	t.node.goroutines.Go(func() {
		cause := l.run(t.ctx)
		t.node.post(t.ctx, linkDown{link: l, cause: cause})
	})
	if r.link != nil && !replaces(r.link, l) {
		t.retireLater(l)
		return
	}
	t.swap(r, l)
	if !r.wanted {
		t.release(l.peer, r)
	}
}

// swap makes a link the host's current one and retires the one before.
func (t *table) swap(r *remote, l *link) {
	before := r.link
	r.link = l
	r.backoff.Reset()
	t.publish(l.peer, l)
	restarted := before != nil && before.session != l.session
	if restarted {
		t.node.options.LinkChanged(l.peer, false)
	}
	if restarted {
		t.retire(before)
	} else if before != nil {
		t.retireLater(before)
	}
	if before == nil || restarted {
		t.node.options.LinkChanged(l.peer, true)
	}
}

func (t *table) removeLink(l *link, cause error) {
	r := t.remote(l.peer)
	if r.link == l {
		r.link = nil
		t.publish(l.peer, nil)
		t.logEnd(l, cause)
		t.node.options.LinkChanged(l.peer, false)
	}
	t.redialLater(l.peer, r)
}

func (t *table) logEnd(l *link, cause error) {
	entry := t.node.options.Log.WithField("peer", l.peer)
	if cause != nil {
		entry = entry.WithError(cause)
	}
	entry.Info("link ended")
}

// retireLater ends a link that lost against another one after a grace: the other end may
// still have this link alone, and must not take its end for the loss of the host.
func (t *table) retireLater(l *link) {
	t.node.options.Clock.AfterFunc(replacedGrace, func() { t.node.post(t.ctx, retireDue{link: l}) })
}

func (t *table) retire(l *link) {
	select {
	case <-l.retiring:
	default:
		close(l.retiring)
	}
}

// publish makes the new set of current links visible to Send.
func (t *table) publish(id core.HostID, l *link) {
	links := maps.Clone(*t.node.links.Load())
	if l == nil {
		delete(links, id)
	} else {
		links[id] = l
	}
	t.node.links.Store(&links)
}
