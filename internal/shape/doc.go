// Package shape holds tests that check rules for the whole code base: at most one type per
// file, no encoding, network, file system or clock in decisions, no locks in the control
// state, and no sleeping or spinning.
package shape
