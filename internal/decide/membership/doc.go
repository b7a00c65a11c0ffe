// Package membership decides which hosts are live and which of them this host keeps links
// to.
//
// It combines three sources: heartbeats received over links, the state of the links, and
// the platform's list of hosts, which lags. A host with a recent heartbeat is live, even if
// the list does not name it. A host that should be linked but is silent is not live, even
// if the list still names it. The list alone decides for new hosts, and for hosts that this
// host keeps no link to: these are live as long as the latest list names them.
//
// Up to Settings.MaxMeshHosts hosts form a full mesh. With more hosts, each host links to
// its neighbours on a ring of its data centre, which is ordered by hash, to a few hosts of
// each other data centre, and for a limited time to hosts passed to View.RequestLink. Apart
// from those requests the choice depends only on the set of hosts, so that all hosts with
// the same list agree.
package membership
