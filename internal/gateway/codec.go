package gateway

import "net/http"

// Codec translates between the headers of a deployment and the gateway's types.
type Codec interface {
	// DecodeRequest reads what a caller's headers say. It returns an error that is shown to the
	// caller if they make no request.
	DecodeRequest(header http.Header) (Request, error)
	// EncodeAttempt makes the header of a send from the caller's: it takes out what only the
	// system sets, and sets what the send says.
	EncodeAttempt(header http.Header, send Attempt)
	// DecodeResponse reads what a target's status and headers say of its answer.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// EncodeRefusal sets the header of an answer of the system's own.
	EncodeRefusal(header http.Header, retryAfter float64)
}
