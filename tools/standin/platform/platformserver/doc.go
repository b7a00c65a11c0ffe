// Package platformserver is a stand-in for the platform's service: a transactional table,
// an object store and a list of hosts, all in memory. One goroutine owns its state.
//
// Faults of POST /stand-in/fault:
//
//	slow         delays every request by delay_ms before it takes effect, even if the client disconnects
//	down         responds with status 503
//	lose_answer  aborts the connection after a write took effect
//	drop         aborts the connection before a write takes effect
//	cut          aborts the connection of every request before it takes effect
//
// The field callers limits a fault to requests of the named hosts. Clients send their host
// name in the header Calling-Host.
package platformserver
