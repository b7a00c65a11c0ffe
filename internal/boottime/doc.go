// Package boottime reads the boot-time clock, which also counts time during which the
// machine was suspended. The monotonic clock of package time does not, so it must not be
// used to compute the age of cached state.
package boottime
