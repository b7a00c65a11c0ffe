package edgecontrol

import "siskintide.example/siskintide/internal/core"

// RolloutRow is a pool's record as it is in the platform's store.
type RolloutRow struct {
	Record  core.RolloutRecord
	Version uint64 // of the row
}
