package edgecontrol

import "siskintide.example/siskintide/internal/decide/placement"

// placementReply takes the result of a placement to the one who has requested it. The control
// goroutine calls one of its methods, once.
type placementReply interface {
	// placed hands over the chosen targets.
	placed(s *state, choice placement.Choice, request placement.Request)
	// unplaced says why no target was assigned.
	unplaced(s *state, why Assignment)
}
