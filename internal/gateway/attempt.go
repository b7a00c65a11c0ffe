package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Attempt is what the system says to a target with a request.
type Attempt struct {
	RequestID   string        // id of the caller's request
	Target      core.TargetID // the only one that may run it
	Team        core.TeamID   // empty if no key was needed
	TimeLeft    time.Duration // time that the caller still waits; zero if it does not say
	Priority    *core.Priority
	CopyTo      string    // address of the target that keeps a copy; empty for none
	ResumeFrom  *KVHandle // memory to go on from; nil for a new run
	LastEventID string    // id of the last event that the caller has; empty for none
}
