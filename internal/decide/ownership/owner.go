package ownership

import "siskintide.example/siskintide/internal/core"

// Owner is the content of a target's owner row. It is void unless the lease of its holder
// has the same session and epoch and has not ended. The row is never deleted, so that the
// fence only grows.
type Owner struct {
	Target  core.TargetID
	Holder  core.HostID // empty after a release
	Session core.SessionID
	Epoch   uint64
	Fence   core.Fence
}
