package snapshot

import "siskintide.example/siskintide/internal/core"

// TargetView is the owner's account of one target.
type TargetView struct {
	Target      core.TargetID
	Owner       core.HostID
	Incarnation core.Incarnation
	Fence       core.Fence
	Limit       int // streams that may run now
	Running     int
	Queued      int // requests waiting in the target's pool on this host
	MemoryUsed  core.Tokens
	Forecast    core.Tokens
	Preemptions uint64
	Reachable   bool
	Leaving     bool
}
