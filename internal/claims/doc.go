// Package claims carries out calls that may run at most once, as package claim decides
// them. Each call runs on its caller's goroutine; one goroutine of the package packs the
// writes of several calls into one transaction of the platform, whose writes are few.
//
// A key is kept for the service's declared time after its call was given up or answered,
// and for an hour at least. Each host then deletes old rows, a part of the table at a time.
package claims
