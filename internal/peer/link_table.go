package peer

import (
	"context"
	"maps"

	"siskintide.example/siskintide/internal/core"
)

// linkTable is the state of all links of a node. Only the goroutine of Node.Run accesses it.
type linkTable struct {
	node  *Node
	ctx   context.Context // when it is done, all links and dials end
	peers map[core.HostID]*peerEntry
}

func (t *linkTable) entry(id core.HostID) *peerEntry {
	e := t.peers[id]
	if e == nil {
		e = newPeerEntry(&t.node.options)
		t.peers[id] = e
	}
	return e
}

// setPeers dials the given hosts that have no link, and retires the links that this node
// opened to hosts that are no longer given. Links opened by the other end stay up.
func (t *linkTable) setPeers(hosts []core.Host) {
	wanted := map[core.HostID]bool{}
	for _, host := range hosts {
		if host.ID == t.node.options.Self.ID {
			continue
		}
		wanted[host.ID] = true
		e := t.entry(host.ID)
		e.host = host
		e.wanted = true
		t.dialIfNeeded(e)
	}
	for id, e := range t.peers {
		if !wanted[id] {
			t.removePeer(id, e)
		}
	}
}

func (t *linkTable) removePeer(id core.HostID, e *peerEntry) {
	e.wanted = false
	if e.link == nil {
		t.deleteIfUnused(id, e)
		return
	}
	if e.link.dialer == t.node.options.Self.ID {
		t.retire(e.link)
	}
}

// deleteIfUnused removes the entry of a host that is not wanted and has neither a link nor
// a pending dial.
func (t *linkTable) deleteIfUnused(id core.HostID, e *peerEntry) {
	if !e.wanted && e.link == nil && !e.dialPending {
		delete(t.peers, id)
	}
}

// dialIfNeeded starts a dial if the host is wanted and has neither a link nor a pending
// dial.
func (t *linkTable) dialIfNeeded(e *peerEntry) {
	if !e.wanted || e.link != nil || e.dialPending {
		return
	}
	e.dialPending = true
	host := e.host
	t.node.goroutines.Go(func() { t.node.dial(t.ctx, host) })
}

// scheduleRedial starts a dial after the current backoff delay of the host.
func (t *linkTable) scheduleRedial(id core.HostID, e *peerEntry) {
	if !e.wanted || e.link != nil || e.dialPending {
		t.deleteIfUnused(id, e)
		return
	}
	e.dialPending = true
	t.node.options.Clock.AfterFunc(e.backoff.NextBackOff(), func() {
		t.node.post(t.ctx, dialDue{host: id})
	})
}

func (t *linkTable) dialDue(id core.HostID) {
	e := t.entry(id)
	e.dialPending = false
	t.dialIfNeeded(e)
	t.deleteIfUnused(id, e)
}

func (t *linkTable) dialFailed(id core.HostID, cause error) {
	e := t.entry(id)
	e.dialPending = false
	t.node.options.Log.WithError(cause).WithField("peer", id).Debug("failed to link to peer")
	t.scheduleRedial(id, e)
}

func (t *linkTable) addLink(l *link) {
	e := t.entry(l.peer)
	if l.dialer == t.node.options.Self.ID {
		e.dialPending = false
	}
	t.node.goroutines.Go(func() {
		cause := l.run(t.ctx)
		t.node.post(t.ctx, linkDown{link: l, cause: cause})
	})
	if e.link != nil && !replaces(e.link, l) {
		t.scheduleRetire(l)
		return
	}
	t.setCurrent(e, l)
	if !e.wanted {
		t.removePeer(l.peer, e)
	}
}

// setCurrent makes a link the current one of its host and retires the previous one: at
// once if the peer has restarted, otherwise after the grace period.
func (t *linkTable) setCurrent(e *peerEntry, l *link) {
	previous := e.link
	e.link = l
	e.backoff.Reset()
	t.publish(l.peer, l)
	restarted := previous != nil && previous.session != l.session
	if restarted {
		t.node.options.LinkChanged(l.peer, false)
	}
	if restarted {
		t.retire(previous)
	} else if previous != nil {
		t.scheduleRetire(previous)
	}
	if previous == nil || restarted {
		t.node.options.LinkChanged(l.peer, true)
	}
}

func (t *linkTable) removeLink(l *link, cause error) {
	e := t.entry(l.peer)
	if e.link == l {
		e.link = nil
		t.publish(l.peer, nil)
		t.logLinkEnd(l, cause)
		t.node.options.LinkChanged(l.peer, false)
	}
	t.scheduleRedial(l.peer, e)
}

func (t *linkTable) logLinkEnd(l *link, cause error) {
	entry := t.node.options.Log.WithField("peer", l.peer)
	if cause != nil {
		entry = entry.WithError(cause)
	}
	entry.Info("link ended")
}

// scheduleRetire retires a redundant link after a grace period. Until the other end has
// the link that is kept, it would take the end of this one for the loss of the host.
func (t *linkTable) scheduleRetire(l *link) {
	t.node.options.Clock.AfterFunc(redundantLinkGrace, func() { t.node.post(t.ctx, retireDue{link: l}) })
}

func (t *linkTable) retire(l *link) {
	select {
	case <-l.retiring:
	default:
		close(l.retiring)
	}
}

// publish replaces the current link of a host in the map that Send reads; nil removes it.
func (t *linkTable) publish(id core.HostID, l *link) {
	links := maps.Clone(*t.node.links.Load())
	if l == nil {
		delete(links, id)
	} else {
		links[id] = l
	}
	t.node.links.Store(&links)
}
