// Package claim decides the steps of a call that has an idempotency key and may run at most
// once. The claim is one row per key. It is written in state sent, by compare-and-swap,
// before the first byte goes to the service. The key can be claimed again only if the row is
// void.
//
// One write before the call and one after it is the minimum for keeping an answer. Writing
// the row in state claimed first would cost a third write. Its only benefit would be that a
// call whose claimant dies between the first two writes is known not to have run. Rows in
// state claimed are still handled.
//
// A caller is told "not run" only after its own call has written the row as void by
// compare-and-swap on a version that it has read. Every other call that read the row before
// then fails its compare-and-swap and does not retry. A call that reads the row later is
// ordered after the refused one and may run.
//
// When the platform cannot be read, it is unknown whether an earlier call with the key has
// run, so the answer is "unknown" although this call sends nothing. If a data centre owned
// its keys, first calls could run during an outage of the platform. But a host that crashed
// then would lose the only copy of the claim, and a retry would run the call twice.
package claim
