package peer

// linkDown reports a link that has ended.
type linkDown struct {
	link  *link
	cause error // nil for an orderly end
}

func (e linkDown) apply(t *table) { t.removeLink(e.link, e.cause) }
