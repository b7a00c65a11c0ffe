package pool

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// Settings bounds one pool.
type Settings struct {
	QueueEntries int           // number of requests that may wait; further ones are refused
	MaxTokens    core.Tokens   // longest output; zero means defaultMaxTokens
	ReleaseAfter time.Duration // longest duration of a call at a target that lists no streams; zero means defaultReleaseAfter
}

// withDefaults returns the settings with defaults in place of missing values.
func (s Settings) withDefaults() Settings {
	if s.MaxTokens <= 0 {
		s.MaxTokens = defaultMaxTokens
	}
	if s.ReleaseAfter <= 0 {
		s.ReleaseAfter = defaultReleaseAfter
	}
	return s
}
