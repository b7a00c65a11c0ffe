package gateway

// streamEvent is one server-sent event, as received from a target.
type streamEvent struct {
	bytes []byte // including the empty line that ends the event
	id    int64
	hasID bool
	// isComment is set if the event has comment lines only. Targets send these to keep the
	// connection open.
	isComment bool
}
