package ownership

// Outcome is the result of a transaction.
type Outcome uint8

const (
	// Committed means that all writes took effect.
	Committed Outcome = iota + 1
	// Conflict means that a condition did not hold. The same transaction may have taken
	// effect before, if it was sent more than once.
	Conflict
	// Unavailable means that the platform did not carry out the transaction.
	Unavailable
	// Ambiguous means that the response was lost. The transaction may have taken effect or
	// may still do so.
	Ambiguous
)
