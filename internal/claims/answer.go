package claims

import "net/http"

// Answer is the complete response of a service.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Replayed bool // the stored answer of an earlier call with the same key
}
