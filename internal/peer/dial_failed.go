package peer

import "siskintide.example/siskintide/internal/core"

// dialFailed is posted when a dial or its handshake has failed.
type dialFailed struct {
	host  core.HostID
	cause error
}

func (e dialFailed) apply(t *linkTable) { t.dialFailed(e.host, e.cause) }
