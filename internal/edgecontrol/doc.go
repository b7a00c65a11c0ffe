// Package edgecontrol holds the control state of a host that routes requests to registered
// targets: the configuration in force, the target registry, the load of each target and
// this host's share of the retry budget. One goroutine owns the state. Traffic goroutines
// read immutable views of it and request targets over a channel.
package edgecontrol
