package snapshot

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HostView is what this host knows about one entry host.
type HostView struct {
	Host        core.Host
	Revision    core.Revision // revision that the host last reported to have in force
	LastContact time.Time     // zero if it was never heard
	Reachable   bool
}
