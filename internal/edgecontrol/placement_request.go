package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/placement"
	"siskintide.example/siskintide/internal/decide/ratelimit"
)

// PlacementRequest is a request for a target of a pool.
type PlacementRequest struct {
	Pool    core.PoolID
	Request placement.Request
	// Retry is set if the request was sent before, so that the retry budget must cover this
	// attempt.
	Retry bool
	// MayWait is set if the request can wait while all targets are at capacity.
	MayWait bool
	// RunningOn is the target at which the generation runs or goes on. If it is set, only a target
	// for the generation's next copy is chosen.
	RunningOn core.TargetID
	// Route is the route of the request. First is set if the request has not been placed before.
	Route core.RouteID
	First bool
	// Versioned is set if only targets of Version may be chosen, and Probe if only those that are probed.
	Versioned bool
	Version   core.Version
	Probe     bool
	// The following decide which requests are served while all targets are limited.
	Team     core.TeamID
	Content  uint64 // identifies what the caller sends, also when it comes back after a rejection
	Priority core.Priority
	TimeLeft time.Duration // that the caller still waits
	MaxWait  time.Duration // time that the request can wait and still be on time
}

// waiter returns the request as a gate sees it.
func (r PlacementRequest) waiter() ratelimit.Waiter {
	return ratelimit.Waiter{Content: r.Content, Team: r.Team, Priority: r.Priority, MaxWait: r.MaxWait, TimeLeft: r.TimeLeft}
}
