package core

import "time"

// LoadReport is a target's own account of its load. It describes the target as it was
// at AsOf on the target's side, which may be seconds ago.
type LoadReport struct {
	Target       TargetID
	Incarnation  Incarnation
	Age          time.Duration // how old the report's content was when the target sent it
	ListsStreams bool          // Streams is the whole list; plain services give none
	Streams      []StreamLoad
	MemoryUsed   Tokens
	MemoryTotal  Tokens
	Preemptions  uint64 // since the incarnation started
	CacheFlush   uint64 // flushes of the prefix cache since the incarnation started
	Leaving      bool   // the target was told that it will be reclaimed
}
