package pool

import "siskintide.example/siskintide/internal/core"

// Capacity is the part of a pool's state that is sent to other hosts.
type Capacity struct {
	FreeStreams int         // number of tickets that could be granted now
	Headroom    core.Tokens // forecast free memory of all targets together
	Queued      int
	Targets     int
}
