// Package control runs the one goroutine that owns all mutable control state of a host.
// Events come in through one channel, decisions are made by the state machines of
// internal/decide, effects leave through the Ports, and an immutable snapshot is published
// for traffic after each event that changed something.
package control
