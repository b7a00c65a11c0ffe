package callerlimit

// Metrics counts what is refused before it reaches the gateway.
type Metrics interface {
	// CallerLimited counts a connection or request that was refused for a reason.
	CallerLimited(reason string)
}
