package peer

import "siskintide.example/siskintide/internal/core"

// dialFailed reports that no authenticated link came of a dial.
type dialFailed struct {
	host  core.HostID
	cause error
}

func (e dialFailed) apply(t *table) { t.dialFailed(e.host, e.cause) }
