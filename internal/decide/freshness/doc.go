// Package freshness bounds how stale a host's copy of a source's data may be. Times are
// readings of a clock that also counts while the machine is suspended, given as the time
// since the machine's boot; see package boottime.
package freshness
