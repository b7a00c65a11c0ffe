package peer

// retireDue says that the grace of a link that lost against another one has ended.
type retireDue struct {
	link *link
}

func (e retireDue) apply(t *table) { t.retire(e.link) }
