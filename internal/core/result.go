package core

// Result says how the use of a ticket ended.
type Result uint8

const (
	// Completed means that the target finished the answer.
	Completed Result = iota + 1
	// Cancelled means that the caller left and the target confirmed the cancellation.
	Cancelled
	// Unused means that no byte was sent to the target.
	Unused
	// Failed means that the target refused the request or died.
	Failed
	// Abandoned means that the entry host stopped following the stream while the target may
	// still run it.
	Abandoned
)
