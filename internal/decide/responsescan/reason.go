package responsescan

// Reason says why a head is malformed; empty if it is not.
type Reason string

const (
	// InvalidStatusLine is used for a first line that does not begin with a version of HTTP/1 and three digits.
	InvalidStatusLine Reason = "invalid status line"
	// InvalidStatus is used for a status outside 100 to 599, and for a change to a protocol that no request asks for.
	InvalidStatus Reason = "invalid status"
)
