package loadgen

// request is one request of the load. It depends on the seed and its number alone.
type request struct {
	number int
	caller Caller
	prompt string
	seed   uint64
}
