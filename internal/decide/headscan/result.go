package headscan

// Result describes the bytes that were scanned.
type Result struct {
	// Heads are the costs of the heads that were completed, in order. The first one includes what earlier calls
	// have reported as Open.
	Heads []int64
	// Trailers is the cost of the trailers that were completed. It includes what earlier calls have reported as Open.
	Trailers int64
	// Open is the cost of the head, or of the trailers, that are not complete.
	Open int64
	// HeadStart is the offset of the first byte of that head; zero if it is in an earlier call.
	HeadStart int
	// FirstHead is the offset of the first byte of the first of Heads; zero if it is in an earlier call.
	FirstHead int
	// Reason is set if a request must be refused. It was found at the offset Valid; the bytes before it do not
	// complete that request.
	Reason Reason
	Valid  int
	// InBody is set if the Reason was found, or the bytes end, in the trailers or the size of a chunk: in the body of
	// the last request with a complete head.
	InBody bool
}
