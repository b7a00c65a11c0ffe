package peer

// linkUp is posted when a new link has completed its handshake.
type linkUp struct {
	link *link
}

func (e linkUp) apply(t *linkTable) { t.addLink(e.link) }
