// Package claims carries out calls that may run at most once, as package claim decides
// them. Each call runs on its caller's goroutine; one goroutine of the package packs the
// writes of several calls into one transaction of the platform, whose writes are few.
//
// Rows are kept after the answer's declared time has passed: a repeat that comes late
// gets the kept answer rather than a second run.
package claims
