package peer

// linkDown is posted when a link has ended.
type linkDown struct {
	link  *link
	cause error // nil if the peer sent a close frame and no write failed
}

func (e linkDown) apply(t *linkTable) { t.removeLink(e.link, e.cause) }
