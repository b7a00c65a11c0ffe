package placement

// Outcome classifies how one attempt at a target ended, by what it shows about the
// target's health.
type Outcome uint8

const (
	// Answered means that the target gave a complete answer without a failure of its own.
	Answered Outcome = iota + 1
	// Failed means that the target answered with a failure of its own, gave an invalid
	// answer, or gave none in time.
	Failed
	// Unreachable means that the connection could not be made, broke or went silent.
	Unreachable
	// Full means that the target refused for lack of room.
	Full
	// Misdirected means that the target's address belongs to another target now.
	Misdirected
	// Inconclusive means that the end shows nothing about the target, as when the caller
	// has left.
	Inconclusive
)
