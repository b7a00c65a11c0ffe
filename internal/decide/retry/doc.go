// Package retry decides how many retries and reruns a host may add to its normal load.
// The budget is earned by successes, so a dead data centre, which gives none, cannot
// multiply the load on what remains.
package retry
