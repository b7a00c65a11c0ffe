// Package controlapi defines the interface through which traffic goroutines use the control
// goroutine. Traffic waits for answers on channels and never accesses control state.
package controlapi
