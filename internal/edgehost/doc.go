// Package edgehost runs the process of an entry host that routes requests to registered
// targets: listeners, control goroutine, log, metrics and the order of a shutdown.
package edgehost
