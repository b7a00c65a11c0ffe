package platform

// response is the platform's complete response to one call.
type response struct {
	status int
	body   []byte
}
