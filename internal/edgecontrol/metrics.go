package edgecontrol

import "siskintide.example/siskintide/internal/core"

// Metrics records what the control goroutine decides.
type Metrics interface {
	// PrefixPlaced counts the tokens of a prompt that this host has placed by its prefix, and how many of
	// them the target is expected to have cached.
	PrefixPlaced(pool core.PoolID, prompt, expectedCached core.Tokens)
}
