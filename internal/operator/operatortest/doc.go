// Package operatortest provides fakes of the platform and of the control goroutine for tests
// of the operators' interface.
package operatortest
