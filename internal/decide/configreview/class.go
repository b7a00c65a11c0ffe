package configreview

// Class groups findings by what is wrong.
type Class string

const (
	// ClassError means that an entry is not valid or is not applied as it is written.
	ClassError Class = "error"
	// ClassUnreachable means that an entry can never match, or gets no requests.
	ClassUnreachable Class = "unreachable"
	// ClassLimits means that limits contradict each other, the kind of the route, or the size of a host.
	ClassLimits Class = "limits"
)
