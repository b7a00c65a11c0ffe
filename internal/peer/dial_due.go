package peer

import "siskintide.example/siskintide/internal/core"

// dialDue is posted when the delay before the next dial of a host has passed.
type dialDue struct {
	host core.HostID
}

func (e dialDue) apply(t *linkTable) { t.dialDue(e.host) }
