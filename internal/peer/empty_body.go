package peer

// empty is the body of frames that carry nothing.
type empty struct{}
