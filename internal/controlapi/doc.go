// Package controlapi is the border between traffic and the control thread. Traffic goroutines
// ask through it and wait on channels; they never touch control state.
package controlapi
