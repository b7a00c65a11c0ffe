package operator

import (
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/snapshot"
)

// State is the view of the control thread. Its methods are safe for concurrent use and
// do not wait.
type State interface {
	Snapshot() *snapshot.Snapshot
	Load() plan.Load
}
