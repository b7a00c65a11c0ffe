package claims

import "net/http"

// Answer is a service's whole answer.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // it was kept from an earlier call with the same key
}
