// Package claim decides the steps of a call that may run at most once. A row per key is
// the claim. It is written as sent, by compare-and-swap, before the first byte goes to
// the service, and it is never claimed again unless it is void.
//
// One write before the call and one after it is the least that keeps an answer; a row
// that goes through claimed first costs a third write and only buys that a claimant that
// dies between the two leaves a call that is known not to have run. Rows in the state
// claimed are still understood.
//
// A caller is told "not run" only after this call has itself written the row as void, in
// place of a version that it has read. Every other call that read the row before then
// fails its compare-and-swap and does not try again. A call that reads the row only
// afterwards is ordered after the refused one and may run.
// When the platform cannot be read, nobody can know whether an earlier call with the key
// has run, so the answer is "unknown" although this call sends nothing. Ownership of
// keys by data centre would let first calls run through an outage of the platform, but a
// host that dies then takes the only copy of the claim with it, and a repeat runs twice.
package claim
