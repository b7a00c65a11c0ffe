package responsescan

// phase is the part of a response to which the next byte belongs.
type phase int

const (
	phaseStatus phase = iota // status line
	phaseFields              // field lines
	phaseBody                // after the head of the final response
)
