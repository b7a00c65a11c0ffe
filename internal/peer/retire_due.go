package peer

// retireDue is posted when the grace period of a redundant link has ended.
type retireDue struct {
	link *link
}

func (e retireDue) apply(t *linkTable) { t.retire(e.link) }
