// Package process serves a stand-in's handler on a loopback address until a signal
// arrives or the stand-in exits.
package process
