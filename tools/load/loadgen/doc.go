// Package loadgen generates the load of callers on hosts, or directly on engines, and
// measures it from the callers' side: stall time, token gaps, time to first token, refusals
// and completed tokens. Each request runs in its own goroutine and sends one sample when it
// ends; a single goroutine owns the metrics and aggregates the samples.
package loadgen
