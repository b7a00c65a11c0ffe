package edgecontrol

import (
	"time"

	"siskintide.example/siskintide/internal/decide/placement"
)

// Assignment is the target assigned to a request, with the load that the request adds to it
// and to the target that keeps the copy of its generation.
type Assignment struct {
	placement.Choice
	AtCapacity bool // no target was assigned: all are at capacity and the request may wait
	// RateLimited is set if no target was assigned because all of them are limited.
	RateLimited bool
	// RetryAfter is the time until a permit is left for the request, or until a target that has asked to
	// be sent nothing takes requests again; zero if it is not known.
	RetryAfter time.Duration
	// Pause is the mean pause between the first events of the stream, set by the caller before the release;
	// zero if it is not known or has been recorded.
	Pause   time.Duration
	rollout rolloutTicket
	load    placement.Load // added to the target
	copy    placement.Load // added to the target that keeps the copy
}
