// Package configcheck checks that a configuration is consistent: every reference refers to a
// declared entry, identifiers and addresses are unique, and numbers are within their bounds.
// It does not read files; package settings adds file, line and key to the faults it reports.
package configcheck
