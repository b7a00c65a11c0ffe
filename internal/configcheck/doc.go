// Package configcheck tells whether a configuration is consistent: every reference is
// known, every identifier and address is unique, and every bound makes sense. It knows
// nothing of files; package settings adds file, line and key to what it finds.
package configcheck
