package peer

import (
	"github.com/cenkalti/backoff/v5"

	"siskintide.example/siskintide/internal/core"
)

// peerEntry is the entry of linkTable for one other host.
type peerEntry struct {
	host        core.Host
	wanted      bool  // the host is in the set given to SetPeers
	link        *link // the current link, or nil
	dialPending bool  // a dial is running or scheduled
	backoff     *backoff.ExponentialBackOff
}

func newPeerEntry(options *Options) *peerEntry {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = options.MinRedialDelay
	delay.MaxInterval = options.MaxRedialDelay
	delay.Reset()
	return &peerEntry{backoff: delay}
}
