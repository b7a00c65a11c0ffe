package responsescan

// phase is the part of a response to which the next byte belongs.
type phase int

const (
	phaseStatus phase = iota // status line
	phaseName                // name of a field, or the empty line at the end of a head
	phaseValue               // value of a field
	phaseBody                // after the head of the final response
)
