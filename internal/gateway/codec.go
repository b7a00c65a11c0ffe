package gateway

import "net/http"

// Codec translates between the headers of a deployment and the gateway's types.
type Codec interface {
	// Decode reads what a caller's headers say. It returns an error that is shown to the
	// caller if they make no request.
	Decode(header http.Header) (Request, error)
	// Encode makes the header of a send from the caller's: it takes out what only the
	// system sets, and sets what the send says.
	Encode(header http.Header, send Attempt)
	// Answer reads what a target's status and headers say of its answer.
	Answer(status int, header http.Header) ResponseInfo
	// Refusal sets the header of an answer of the system's own.
	Refusal(header http.Header, retryAfter float64)
}
