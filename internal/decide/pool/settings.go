package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Settings bounds one pool.
type Settings struct {
	QueueEntries int           // requests that may wait; more are refused at once
	MaxTokens    core.Tokens   // longest output; zero means a built-in bound
	ReleaseAfter time.Duration // longest time that a call runs at a target that lists no streams
}

// withDefaults returns the settings with built-in bounds in place of absent ones.
func (s Settings) withDefaults() Settings {
	if s.MaxTokens <= 0 {
		s.MaxTokens = defaultMaxToken
	}
	if s.ReleaseAfter <= 0 {
		s.ReleaseAfter = defaultRelease
	}
	return s
}
