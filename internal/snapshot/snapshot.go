// Package snapshot holds the immutable view of a host's control state that traffic reads.
package snapshot

import "siskintide.example/siskintide/internal/core"

// Snapshot is one published view of the control state. Nobody changes it after it has
// been published.
type Snapshot struct {
	Self            core.Host
	Session         core.SessionID
	Catalog         *core.Catalog // nil until the first configuration is in force
	Leaving         bool          // the host is shutting down and takes no new callers
	PlatformReached bool          // the last call to the platform succeeded
	Degraded        bool          // the host goes on owning targets without a renewed lease
	Hosts           []HostView    // known entry hosts, this one included
	Owned           []TargetView  // targets that this host owns
	PeerTargets     []TargetView  // targets that reachable peers lately said they own
}
