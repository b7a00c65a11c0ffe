package ratelimit

import "siskintide.example/siskintide/internal/core"

// flow is the requests of one team with one priority.
type flow struct {
	priority core.Priority
	team     core.TeamID
}
