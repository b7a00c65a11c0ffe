package edgecontrol

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/pace"
)

// PaceMetrics records what a hub has learned of the engines' pace. Its methods must not block.
type PaceMetrics interface {
	// EnginePace records what is known of the engines of a pool; the zero Summary if that is too little.
	EnginePace(pool core.PoolID, summary pace.Summary)
	// PlacementAvoided counts a placement that passed over an engine for its pace.
	PlacementAvoided(pool core.PoolID)
}
