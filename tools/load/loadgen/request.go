package loadgen

// request is one request of the load. It depends only on the seed and on its number.
type request struct {
	number int
	caller Caller
	prompt string
	seed   uint64
}
