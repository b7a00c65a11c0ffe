// Package telemetry records metrics through tally and serves them in the Prometheus text
// format. Metric names state base units, such as seconds. Metrics are tagged with team and
// class, each with a bounded number of values.
package telemetry
