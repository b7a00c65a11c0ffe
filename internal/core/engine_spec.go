package core

import "time"

// EngineSpec declares the resources and capabilities of a pool's engines.
type EngineSpec struct {
	Slots        int           // generations that run at once
	MemoryTokens Tokens        // memory shared by running generations and cached prompts
	Copies       bool          // an engine can keep an up-to-date copy of the KV cache of a generation that runs elsewhere
	Moves        bool          // an engine can move the KV cache of a generation to another engine on request
	CopyTTL      time.Duration // time for which an unused copy is kept
	EventTokens  int           // tokens in one event of a stream
}
