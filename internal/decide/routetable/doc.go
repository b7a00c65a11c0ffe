// Package routetable looks up the route, pool and team of a request in one routing
// configuration.
package routetable
