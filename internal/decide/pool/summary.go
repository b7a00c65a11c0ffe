package pool

import "siskintide.example/siskintide/internal/core"

// Summary is what other hosts learn about a pool.
type Summary struct {
	FreeStreams int         // tickets that could be granted now
	Headroom    core.Tokens // forecast free memory over all targets
	Queued      int
	Targets     int
}
