package callerbudget

// Class is what memory is taken for. A later class may take what an earlier one must leave, so that requests in
// work go before new ones, and what has the usual size before what has not.
type Class int

const (
	// Connection is an open connection of a caller. Its ceiling is that of usual heads, since large requests must not keep
	// new callers out.
	Connection Class = iota
	// LargeHead is the head of a request that takes more than UsualHeadBytes.
	LargeHead
	// LargeBody is what the body of a request has beyond UsualBodyBytes.
	LargeBody
	// Head is the head of a request, from its first byte to the end of the request.
	Head
	// Body is the body of a request.
	Body
	// LargeAnswer, and the classes after it, are for requests in work. It is what a buffered response or event has beyond the usual size.
	LargeAnswer
	// Answer is a response, or an event of one, that is being buffered.
	Answer
	classCount
)

const (
	// UsualHeadBytes is the memory for a head with up to a hundred lines. Heads that take more are served while there
	// is enough memory.
	UsualHeadBytes = 24 << 10
	// UsualBodyBytes is the size of a body up to which it goes before larger ones. A thousand callers that send
	// as much and no more leave room for the heads of others.
	UsualBodyBytes = 4 << 10
)

// ceilings are the parts of the whole memory up to which each class may fill it.
var ceilings = [classCount]float64{
	Connection: 0.72, LargeHead: 0.56, LargeBody: 0.66, Head: 0.72, Body: 0.78, LargeAnswer: 0.86, Answer: 1,
}
