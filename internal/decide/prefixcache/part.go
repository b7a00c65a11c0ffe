package prefixcache

import (
	"time"

	"siskintide.example/siskintide/internal/core"
)

// part is a part of a prompt that was placed at an engine.
type part struct {
	key    core.PromptPart
	tokens core.Tokens
	usedAt time.Duration
}
