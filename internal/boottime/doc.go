// Package boottime reads the clock that also counts the time for which the machine was
// suspended. The monotonic clock of package time does not, so the age of a proof must not
// be taken from it.
package boottime
