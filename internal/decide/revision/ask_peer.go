package revision

import "siskintide.example/siskintide/internal/core"

// AskPeer asks a peer for a configuration above the given revision.
type AskPeer struct {
	Host  core.HostID
	Above core.Revision
}

func (AskPeer) effect() {}
