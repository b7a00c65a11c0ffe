package core

// Split is the share of a route's requests that goes to one pool.
type Split struct {
	Pool   PoolID
	Weight int // relative to the other splits of the route
}
