// Package operatortest holds fakes of the platform and of the control thread for tests of
// the operators' interface.
package operatortest
