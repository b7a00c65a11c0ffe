package peer

import "siskintide.example/siskintide/internal/core"

// dialDue reports that the delay before the next dial of a host is over.
type dialDue struct {
	host core.HostID
}

func (e dialDue) apply(t *table) { t.dialDue(e.host) }
