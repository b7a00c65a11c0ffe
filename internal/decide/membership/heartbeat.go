package membership

import "siskintide.example/siskintide/internal/core"

// Heartbeat is what a host says of itself.
type Heartbeat struct {
	Session  core.SessionID
	Revision core.Revision
	Leaving  bool
}
