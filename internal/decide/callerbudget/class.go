package callerbudget

// Class is what memory is taken for. A later class may take what an earlier one must leave, so that requests in
// work go before new ones.
type Class int

const (
	// Connection is an open connection of a caller.
	Connection Class = iota
	// Head is the head of a request, from its first byte to the end of the request.
	Head
	// Body is the body of a request.
	Body
	// LargeAnswer is what a buffered response or event has beyond the usual size.
	LargeAnswer
	// Answer is a response, or an event of one, that is being buffered.
	Answer
	classCount
)

// ceilings are the parts of the whole memory up to which each class may fill it.
var ceilings = [classCount]float64{Connection: 0.5, Head: 0.65, Body: 0.75, LargeAnswer: 0.85, Answer: 1}
