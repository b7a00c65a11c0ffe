// Package core holds the value types that every other package shares: identifiers,
// counters with units, the accepted configuration, tickets and refusals. It does no
// input or output and reads no clock.
package core
