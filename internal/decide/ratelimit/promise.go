package ratelimit

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// promise reserves a permit for a request that was rejected and told when to come back.
type promise struct {
	content uint64
	team    core.TeamID
	due     time.Duration // when the caller is told to come back
	until   time.Duration
}
