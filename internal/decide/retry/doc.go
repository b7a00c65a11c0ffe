// Package retry decides how many retries and reruns a host may add to its normal load. The
// budget is credited by successes. A failed data centre yields none, so its retries cannot
// multiply the load on the remaining ones. Package relay uses this budget; package
// edgecontrol limits its retries by package retrybudget.
package retry
