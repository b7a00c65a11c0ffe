package gateway

import "bytes"

// streamEvent is one server-sent event, as received from a target.
type streamEvent struct {
	bytes []byte // including the empty line that ends the event
	id    int64
	hasID bool
	// isComment is set if the event has comment lines only. Targets send these to keep the
	// connection open.
	isComment bool
	hasData   bool // the event has a data line
}

// startsEvent reports whether bytes that no empty line follows belong to an event: they are more than complete
// comment lines.
func (e streamEvent) startsEvent() bool {
	return len(e.bytes) > 0 && !(e.isComment && bytes.HasSuffix(e.bytes, []byte("\n")))
}
