// Package membership decides which entry hosts are live and which of them to stay linked
// with.
//
// Three sources are weighed: heartbeats of linked hosts, the links, and the platform's
// list, which lags. A host that was heard lately is live whatever the list says. A host
// that this host keeps a link with, and that is silent, is not, however long the list
// still names it. The list alone counts for hosts that are new, and for hosts that this
// host keeps no link with; such a host stays live as long as the newest list names it.
//
// Up to Settings.MeshHosts hosts are linked each with each. Beyond, a host links with its
// neighbours on a ring of its data centre, ordered by hash, with a few hosts of each
// other data centre, and for a while with those that it asked for (Demand). The choice
// depends only on the set of hosts, so that all hosts with the same list agree.
package membership
