// Package snapshot holds the immutable view of a host's control state that traffic reads.
package snapshot

import "siskintide.example/siskintide/internal/core"

// Snapshot is a view of the control state. It must not be changed after it has been
// published.
type Snapshot struct {
	Self            core.Host
	Session         core.SessionID
	Catalog         *core.Catalog // nil until the first configuration is in force
	Leaving         bool          // the host is shutting down and takes no new callers
	PlatformReached bool          // the last call to the platform succeeded
	Degraded        bool          // the host still owns targets but cannot renew its lease
	Hosts           []HostView    // known hosts, this one included
	Owned           []TargetView  // targets that this host owns
	PeerTargets     []TargetView  // targets of linked peers, from their last reports
}
