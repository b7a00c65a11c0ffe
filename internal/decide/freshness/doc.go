// Package freshness keeps the proof of how old a host's knowledge of a source is. Times
// are readings of a clock that also counts while the machine is suspended, given as the
// duration since its start.
package freshness
