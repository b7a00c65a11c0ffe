// Package failover decides when a running generation continues on another engine: either from
// a copy of its memory (its KV cache) that the other engine keeps up to date, or after its
// memory has been moved there by a pre-copy and a stop-and-copy step. Two engines never work
// on the same generation: a switch is decided only while no other step is pending, and the
// previous engine is released after it. A run whose connection has ended is stopped before the
// generation goes on, and so is a run that was left. Where that cannot be confirmed, as the engine
// has not begun the run yet or does not answer, it is asked further while the generation goes on. A
// generation that has not begun has no copy. One that is lost may be run again from the last event
// that was passed on.
package failover
