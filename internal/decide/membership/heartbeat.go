package membership

import "siskintide.example/siskintide/internal/core"

// Heartbeat is the state that a host reports to its peers.
type Heartbeat struct {
	Session  core.SessionID
	Revision core.Revision
	Leaving  bool
}
