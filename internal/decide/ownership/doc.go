// Package ownership decides which targets of its data centre a host owns. Only the owner
// of a target issues tickets for it.
//
// Ownership is recorded in two kinds of rows of the platform's table. Each host has a
// lease row, which it renews periodically. Each target has an owner row with the holder,
// the session and epoch of the holder's lease, and a fence that only grows. An owner row
// is void once the lease of its holder has ended or has another session or epoch.
//
// A host acquires a target only while its own lease is valid, in one transaction that is
// conditional on the owner row and on its own lease row. If the lease of the previous
// holder has not ended, the host must first see that lease row unchanged for the lease
// time and a margin. The transaction is then also conditional on that row and ends the
// lease, so that a renewal in flight conflicts. The holder counts its lease from before it
// sent the renewal, on its monotonic clock. It therefore stops before its successor starts,
// provided that no clock runs faster than another by more than the margin (1 s in 10 s).
//
// If the response to a transaction that acquires targets is lost, the host does not own
// them yet. It reads the rows again, and acquires a target whose row already names this
// host anew with a higher fence.
//
// Degraded mode: while the platform is unavailable, no host can renew its lease or acquire
// a target. A holder keeps its targets after its lease has expired as long as a majority of
// the hosts that it last knew in its data centre, itself included, reported within
// Timing.PeerReportMaxAge that they cannot reach the platform. A host that reaches the
// platform acquires nothing from a holder whose recent heartbeat says that it is degraded.
// A pause of the holder's control goroutine discards the reports received before it.
//
// One risk remains: a network partition inside one data centre while the platform is
// unavailable only to the side with the majority. A host of the minority that reaches the
// platform and receives no heartbeat from the holder acquires the holder's targets after
// the lease time and margin, while the holder still receives the reports of its majority.
// Both then own the targets until the holder or another host of the majority reaches the
// platform: the holder's renewal conflicts, or it no longer has a majority within
// Timing.PeerReportMaxAge. From the takeover on, engines that check fences refuse the old
// holder's orders. The load of a target is at most twice its limit, which is frozen in
// degraded mode. A host that restarts during an outage owns nothing until the outage ends.
package ownership
