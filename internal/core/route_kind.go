package core

// RouteKind says what may be repeated on a route.
type RouteKind uint8

const (
	// RouteIdempotent carries idempotent calls.
	RouteIdempotent RouteKind = iota + 1
	// RouteAtMostOnce carries calls that run at most once.
	RouteAtMostOnce
	// RouteStream carries generations; each runs at most once and is answered by events.
	RouteStream
)

// String returns the name used in logs.
func (k RouteKind) String() string {
	switch k {
	case RouteIdempotent:
		return "idempotent"
	case RouteAtMostOnce:
		return "at_most_once"
	case RouteStream:
		return "stream"
	default:
		return "unknown"
	}
}
