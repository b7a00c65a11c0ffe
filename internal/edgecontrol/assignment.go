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
	// RateLimited is set if no target was assigned because all of them are limited. RetryAfter is
	// then the time until a permit is left for the request; zero if it is not known.
	RateLimited bool
	RetryAfter  time.Duration
	load        placement.Load // added to the target
	copy        placement.Load // added to the target that keeps the copy
}
