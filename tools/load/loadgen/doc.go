// Package loadgen drives callers against entry hosts, or straight against engines, and
// measures what the callers see: stall time, token gaps, first tokens, refusals and
// completed tokens. One goroutine owns the measures; each request has its own goroutine
// and hands over one sample when it ends.
package loadgen
