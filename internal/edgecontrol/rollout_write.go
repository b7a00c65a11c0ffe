package edgecontrol

import "siskintide.example/siskintide/internal/core"

// RolloutWrite is a write of a pool's record to the platform's store.
type RolloutWrite struct {
	Record core.RolloutRecord
	// Expected is the version of the row that the write replaces, zero if the row must not exist. Otherwise
	// nothing is written.
	Expected uint64
	// Announce is set if the state that operators see is written in the same transaction.
	Announce bool
}
