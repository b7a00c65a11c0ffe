// Package serviceserver is a stand-in for a plain service whose calls must not be repeated.
// It serves any path and counts how often a call with each Idempotency-Key ran. One
// goroutine owns its state.
//
// Faults of POST /stand-in/fault:
//
//	late  responds after delay_ms
//	die   crashes the process after a call ran and before its response
//	drop  aborts the connection before a call runs
//	kill  crashes the process at once
//	sick  fails health checks
package serviceserver
