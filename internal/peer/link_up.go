package peer

// linkUp reports a link whose peer is authenticated.
type linkUp struct {
	link *link
}

func (e linkUp) apply(t *table) { t.addLink(e.link) }
