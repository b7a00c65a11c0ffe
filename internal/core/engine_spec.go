package core

import "time"

// EngineSpec declares what the engines of a pool have and can do.
type EngineSpec struct {
	Slots        int           // generations that run at once
	MemoryTokens Tokens        // memory shared by running generations and cached prompts
	Copies       bool          // an engine can keep a growing copy of another's generation
	Moves        bool          // an engine can copy a generation to another on demand
	CopyTTL      time.Duration // time for which an unused copy is kept
	EventTokens  int           // tokens in one event of a stream
}
