package snapshot

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// HostView is the state of one host as this host sees it.
type HostView struct {
	Host        core.Host
	Revision    core.Revision // configuration revision in the host's last heartbeat
	LastContact time.Time     // time of the last heartbeat or handshake; zero if there was none
	Reachable   bool
}
