// Package eventlog writes JSON log lines without blocking the goroutine that logs. Lines beyond
// a fixed rate, and lines that do not fit into the queue while the output is slow, are dropped
// and counted.
package eventlog
