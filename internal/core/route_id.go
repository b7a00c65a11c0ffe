package core

// RouteID names a route of the routing configuration.
type RouteID string
