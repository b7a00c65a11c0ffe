package core

// RouteKind says which requests of a route may be retried.
type RouteKind uint8

const (
	// RouteIdempotent carries idempotent calls.
	RouteIdempotent RouteKind = iota + 1
	// RouteAtMostOnce carries calls that run at most once.
	RouteAtMostOnce
	// RouteStream carries generations. Each runs at most once and is answered by an event
	// stream.
	RouteStream
)

// String returns the name used in logs and, as the class of the requests, in metrics.
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
