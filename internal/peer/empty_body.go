package peer

// emptyBody is the body of frames without content.
type emptyBody struct{}
