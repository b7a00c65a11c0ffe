package rollout

import "siskintide.example/siskintide/internal/core"

// hostKey identifies one process of a host.
type hostKey struct {
	host        core.HostID
	incarnation uint64
}
