// Package failover decides when a running generation goes on at another engine: from a copy
// that the other engine keeps as the generation grows, or by moving its memory there. It
// never has two engines work on one generation: a switch is decided only while none is
// open, and after it the former engine is let go.
package failover
