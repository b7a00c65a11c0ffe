package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// Assignment is the target assigned to a request, with the load that the request adds to it
// and to the target that keeps the copy of its generation.
type Assignment struct {
	placement.Choice
	AtCapacity bool           // no target was assigned: all are at capacity and the request may wait
	load       placement.Load // added to the target
	copy       placement.Load // added to the target that keeps the copy
}
