// Package failover decides when a running generation continues on another engine: either from
// a copy of its memory that the other engine keeps up to date, or after a live migration of
// its memory. Two engines never work on the same generation: a switch is decided only while
// no other step is pending, and the previous engine is released after it.
package failover
