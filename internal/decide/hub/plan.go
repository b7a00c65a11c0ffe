package hub

import "siskintide.example/siskintide/internal/core"

// Plan says where a host gets the platform's state from.
type Plan struct {
	Hub        core.HostID // empty for none
	RequestDue bool        // a request to Hub must be sent now
	ReadStore  bool        // the host reads the platform's store itself
}
