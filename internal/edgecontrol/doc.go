// Package edgecontrol holds the control state of a host that routes requests to registered
// targets: the configuration in force, the registry, the load of targets and the shares
// of bounds that all hosts keep together. One goroutine owns it; traffic reads immutable
// views and asks for placements.
package edgecontrol
