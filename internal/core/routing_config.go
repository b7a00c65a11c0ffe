package core

// RoutingConfig is a complete routing configuration. It is immutable once published.
type RoutingConfig struct {
	Revision Revision
	Routes   []Route
	Pools    []PoolSpec
	Teams    []TeamKeys // nil means that no request needs a key
	Limits   CallerLimits
}
