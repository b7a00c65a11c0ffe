// Package recovery keeps a panic in a goroutine that handles outside input from ending the
// process. The control goroutine does not use it: its state could be left half changed.
package recovery
