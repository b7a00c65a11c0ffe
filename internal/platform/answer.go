package platform

// answer is the platform's whole answer to one call.
type answer struct {
	status int
	body   []byte
}
