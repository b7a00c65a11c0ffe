package gateway

import "net/http"

// Codec translates between the headers of a deployment and the gateway's types.
type Codec interface {
	// DecodeRequest reads a caller's headers. If they are not a valid request it returns an
	// error, whose text is sent to the caller.
	DecodeRequest(header http.Header) (Request, error)
	// DecodePrefix reads what a caller's headers say of the prompt that engines cache. It is only called
	// for pools that weigh prefixes.
	DecodePrefix(header http.Header) Prefix
	// EncodeAttempt turns the caller's header into that of an attempt: it removes the fields
	// that only the system may set, and sets those that the attempt requires.
	EncodeAttempt(header http.Header, attempt Attempt)
	// DecodeResponse reads the metadata in a target's status and headers.
	DecodeResponse(status int, header http.Header) ResponseInfo
	// EncodeRefusal sets header fields of a refusal. retryAfter is in seconds; zero means
	// that the refusal gives no time.
	EncodeRefusal(header http.Header, retryAfter float64)
}
