package responsescan

// Reason says why a head is malformed; empty if it is not.
type Reason string

const (
	// InvalidStatusLine is used for a first line that does not begin with a version of HTTP/1 and three digits.
	InvalidStatusLine Reason = "invalid status line"
	// InvalidStatus is used for a status outside 100 to 599, and for a change to a protocol that no request asks for.
	InvalidStatus Reason = "invalid status"
	// InvalidFieldName is used for a field whose name is not a token: one that is empty or holds a blank, a control
	// byte or another byte outside the set of RFC 9110, and a line without a colon.
	InvalidFieldName Reason = "invalid field name"
	// ContinuedLine is used for a line that begins with a blank. RFC 9112 lets a gateway refuse such lines; net/http
	// adds them to the value before, where a field that says how the body ends is overlooked.
	ContinuedLine Reason = "continued line"
	// UnexpectedEncoding is used for a Transfer-Encoding in a response of HTTP/1.0, which has none. net/http overlooks it
	// there, and takes the chunks and their sizes for the body.
	UnexpectedEncoding Reason = "transfer encoding in HTTP/1.0"
	// MixedLineEnds is used for a line that ends in another way than the status line. A line feed before the name of
	// a field would end the head there.
	MixedLineEnds Reason = "mixed line ends"
)
