package core

// RouteKind says what may be repeated on a route.
type RouteKind uint8

const (
	// RouteRepeatable carries idempotent calls.
	RouteRepeatable RouteKind = iota + 1
	// RouteOnce carries calls that run at most once.
	RouteOnce
	// RouteStream carries generations; each runs at most once and is answered by events.
	RouteStream
)

// String returns the name used in logs.
func (k RouteKind) String() string {
	switch k {
	case RouteRepeatable:
		return "idempotent"
	case RouteOnce:
		return "at_most_once"
	case RouteStream:
		return "stream"
	default:
		return "unknown"
	}
}
