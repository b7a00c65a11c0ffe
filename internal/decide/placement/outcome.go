package placement

// Outcome says how one send to a target ended, as far as it tells of the target.
type Outcome uint8

const (
	// Answered means that the target gave a whole answer that is no failure of its own.
	Answered Outcome = iota + 1
	// Failed means that the target answered with a failure of its own, or spoiled its answer.
	Failed
	// Unreachable means that no connection was made, or that it broke or fell silent.
	Unreachable
	// Full means that the target refused for lack of room.
	Full
	// Misdirected means that another target has the address now.
	Misdirected
	// Inconclusive means that the end says nothing of the target, such as a caller that left.
	Inconclusive
)
