package configreview

import "time"

// Engine describes the engines of a service as it is written.
type Engine struct {
	Slots        int
	MemoryTokens int64
	Copies       bool
	Moves        bool
	EventTokens  int
	CopyTTL      time.Duration
}
