package core

import "time"

// EngineSpec declares the resources and capabilities of a pool's engines.
type EngineSpec struct {
	Slots        int           // generations that run at once
	MemoryTokens Tokens        // memory shared by running generations and cached prompts
	Copies       bool          // an engine can keep a copy of a generation that runs elsewhere, updated as it grows
	Moves        bool          // an engine can copy a generation to another engine on request
	CopyTTL      time.Duration // time for which an unused copy is kept
	EventTokens  int           // tokens in one event of a stream
}
