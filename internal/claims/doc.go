// Package claims executes calls that may run at most once, as decided by package claim. Each
// call runs on its caller's goroutine. One goroutine of the package batches the writes of
// several calls into one transaction, because the platform limits the rate of writes.
//
// A key is kept for the service's declared retention time, but at least one hour, after its
// claim has expired. Then the hosts delete its row; each sweep covers one partition of the
// table.
package claims
