package headscan

// Reason says why a request must be refused; empty if it need not be.
type Reason string

const (
	// TooLarge is used for a head, or trailers, beyond the limit.
	TooLarge Reason = "head_too_large"
	// EmptyLines is used for more empty lines before a request than old clients send.
	EmptyLines Reason = "empty_lines"
	// AmbiguousLength is used for a request whose end is not certain.
	AmbiguousLength Reason = "ambiguous_length"
	// UnknownEncoding is used for a body that is encoded in another way than in chunks.
	UnknownEncoding Reason = "unknown_encoding"
	// ContinuedLine is used for a header line that continues the one before it.
	ContinuedLine Reason = "continued_line"
)
