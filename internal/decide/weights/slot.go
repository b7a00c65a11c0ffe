package weights

import "siskintide.example/siskintide/internal/core"

// Slot is the row of a data centre's load slot. The zero value is a free slot.
type Slot struct {
	Target core.TargetID // the holder
	Fence  core.Fence    // of the host that owned the target when it wrote the row
}
