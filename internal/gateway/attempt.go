package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Attempt is what the system adds to a request for one target.
type Attempt struct {
	RequestID   string        // id of the caller's request
	Target      core.TargetID // the only target that may run the request
	Team        core.TeamID   // empty if no key was needed
	TimeLeft    time.Duration // time to the request's deadline, at least 1 ms
	Priority    *core.Priority
	CopyTo      string    // address of the engine that keeps a copy of the KV cache; empty for none
	ResumeFrom  *KVHandle // KV cache to resume from; nil for a new generation
	LastEventID string    // last event that the caller has; empty for none
}
