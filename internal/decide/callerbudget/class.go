package callerbudget

// Class is what memory is taken for. A later class may take what an earlier one must leave, so that requests in
// work go before new ones, and what has the usual size before what has not.
type Class int

const (
	// Connection is an open connection of a caller.
	Connection Class = iota
	// LargeHead is the head of a request that takes more than UsualHeadBytes.
	LargeHead
	// Head is the head of a request, from its first byte to the end of the request.
	Head
	// LargeBody is what the body of a request has beyond UsualBodyBytes.
	LargeBody
	// Body is the body of a request.
	Body
	// LargeAnswer is what a buffered response or event has beyond the usual size.
	LargeAnswer
	// Answer is a response, or an event of one, that is being buffered.
	Answer
	classCount
)

const (
	// UsualHeadBytes is the memory for a head with up to a hundred lines. Heads that take more are served while there
	// is enough memory.
	UsualHeadBytes = 24 << 10
	// UsualBodyBytes is the size of a body, or buffer for one, up to which it goes before larger ones.
	UsualBodyBytes = 64 << 10
)

// ceilings are the parts of the whole memory up to which each class may fill it.
var ceilings = [classCount]float64{
	Connection: 0.5, LargeHead: 0.58, Head: 0.65, LargeBody: 0.72, Body: 0.78, LargeAnswer: 0.86, Answer: 1,
}
