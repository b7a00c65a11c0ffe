package operator

import (
	"siskintide.example/siskintide/internal/decide/plan"
	"siskintide.example/siskintide/internal/snapshot"
)

// State gives access to the published state of the control goroutine. Its methods are safe for
// concurrent use and do not block.
type State interface {
	Snapshot() *snapshot.Snapshot
	Load() plan.Load
}
