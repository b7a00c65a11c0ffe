package weights

import "siskintide.example/siskintide/internal/core"

// Slot is the row of a data centre's slot; the zero value is a free slot.
type Slot struct {
	Target core.TargetID
	Fence  core.Fence
}
