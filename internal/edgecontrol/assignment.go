package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// Assignment is the work that one request has at its target, and at the one that keeps its copy.
type Assignment struct {
	placement.Choice
	AtCapacity bool           // no target was chosen, since all are crowded and the request may wait
	load       placement.Load // at the target
	copy       placement.Load // at the holder of the copy
}
