package core

import "time"

// LoadReport is a target's report of its load. It describes the target as it was Age before
// the report was sent, which may be seconds.
type LoadReport struct {
	Target       TargetID
	Incarnation  Incarnation
	Age          time.Duration // age of the content when the target sent the report
	ListsStreams bool          // Streams is complete; plain services list none
	Streams      []StreamLoad
	MemoryUsed   Tokens
	MemoryTotal  Tokens
	Preemptions  uint64 // since the incarnation started
	CacheFlush   uint64 // flushes of the prefix cache since the incarnation started
	Leaving      bool   // the target will be reclaimed
}
