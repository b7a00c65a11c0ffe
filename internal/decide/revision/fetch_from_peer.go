package revision

import "siskintide.example/siskintide/internal/core"

// FetchFromPeer requests a configuration above the given revision from a peer.
type FetchFromPeer struct {
	Host  core.HostID
	Above core.Revision
}

func (FetchFromPeer) effect() {}
