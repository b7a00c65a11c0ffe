package hub

import "siskintide.example/siskintide/internal/core"

// Plan is what a host does now.
type Plan struct {
	Hub        core.HostID // to learn from and to ask; empty for none
	RequestDue bool        // a question is due
	ReadStore  bool        // the host reads the platform's store by itself
}
