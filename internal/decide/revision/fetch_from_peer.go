package revision

import "siskintide.example/siskintide/internal/core"

// FetchFromPeer asks a peer for a configuration above the given revision.
type FetchFromPeer struct {
	Host  core.HostID
	Above core.Revision
}

func (FetchFromPeer) effect() {}
