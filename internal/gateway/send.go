package gateway

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Send is what the system says to a target with a request.
type Send struct {
	Request  string        // id of the caller's request
	Target   core.TargetID // the only one that may run it
	Team     core.TeamID   // empty if no key was needed
	Left     time.Duration // time that the caller still waits; zero if it does not say
	Priority *core.Priority
	CopyTo   string  // address of the target that keeps a copy; empty for none
	From     *Handle // memory to go on from; nil for a new run
	After    string  // id of the last event that the caller has; empty for none
}
