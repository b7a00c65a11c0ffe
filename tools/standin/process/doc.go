// Package process runs a stand-in's handler as a process until it is told to stop.
package process
