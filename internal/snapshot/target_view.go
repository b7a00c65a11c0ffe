package snapshot

import "siskintide.example/siskintide/internal/core"

// TargetView is the state of one target as its owner sees it.
type TargetView struct {
	Target      core.TargetID
	Owner       core.HostID
	Incarnation core.Incarnation
	Fence       core.Fence
	Limit       int // streams that may run now
	Running     int
	Queued      int // requests queued in the target's pool on this host
	MemoryUsed  core.Tokens
	Forecast    core.Tokens // forecast peak of the memory of the running streams
	Preemptions uint64
	Reachable   bool
	Leaving     bool
}
