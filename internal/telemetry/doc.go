// Package telemetry records metrics through tally and serves them in the Prometheus text
// format. Names carry base units; tags are team and class, each with a bounded number of
// values.
package telemetry
