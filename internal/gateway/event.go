package gateway

// streamEvent is one event of a stream as the target sent it.
type streamEvent struct {
	bytes []byte // with the empty line that ends it
	id    int64
	hasID bool
}
