// Package routetable answers which route, pool and team a request belongs to in one
// routing configuration.
package routetable
