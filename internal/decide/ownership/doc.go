// Package ownership decides which targets of its data centre a host owns. The owner of a
// target is the only host that issues tickets for it.
//
// Ownership rests on two kinds of rows in the platform's table. Each host renews one
// lease row. Each target has an owner row, which names its holder, the epoch of the
// holder's lease and a fence that only grows. An owner row is void once the lease of its
// holder has ended or is of another epoch. A host takes a target only while its own
// lease is valid, in one transaction that is conditional on the owner row, on its own
// lease row and on the lease row of the former holder. If that lease has not ended, the
// taker first sees its row unchanged for the whole lease time and a margin, and the
// transaction ends it, so that a renewal that is still on its way conflicts. The holder
// counts its lease from before it sent the renewal, on its monotonic clock. Thus the
// holder stops before the taker starts, as long as no clock runs faster than another by
// more than the margin allows (1 s in 10 s).
//
// Nothing is owned on the strength of a lost answer: the rows are read back, and a
// target whose row already names this host is taken once more with a higher fence.
//
// Degraded mode: when the platform is away, nobody can renew and nobody can take. The
// holder goes on beyond its lease as long as a majority of the hosts that it last knew
// in its data centre, itself included, report freshly that they cannot reach the
// platform. A host that reaches the platform takes nothing from a holder whose fresh
// heartbeat says that it is degraded. A pause of the holder voids what it heard before.
//
// What stays at risk: a cut inside one data centre during an outage of the platform for
// the majority's side only. A host on the minority's side that reaches the platform, and
// hears no heartbeat of the holder, takes its targets after the lease time and margin,
// while the holder still hears its majority. Both then own the target until the holder
// reaches the platform or any host of the majority does: its renewal conflicts, or its
// evidence is gone within Timing.PeerFresh. Engines that check fences refuse the
// holder's orders from the takeover on; the target's load is at most twice its limit,
// which is frozen in degraded mode. A host that restarts during an outage owns nothing
// until the outage ends.
package ownership
