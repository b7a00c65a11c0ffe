package core

// Split gives a pool its share of a route's requests.
type Split struct {
	Pool   PoolID
	Weight int // relative to the other splits of the route
}
