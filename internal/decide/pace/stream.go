package pace

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Stream is a stream whose pauses are forecast.
type Stream struct {
	Prompt core.Tokens
	Events int
	Goal   time.Duration // longest pause that is not late
}
