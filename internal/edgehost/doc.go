// Package edgehost runs the process of a host that routes requests to registered targets:
// its listeners, control goroutine, log, metrics and graceful shutdown.
package edgehost
