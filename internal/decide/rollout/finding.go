package rollout

import "siskintide.example/siskintide/internal/core"

// finding is the evidence that the new version is worse than the old one in one respect.
type finding struct {
	measure     string
	route       core.RouteID // empty for all routes together
	table       comparison   // sums over the strata
	probability float64      // of evidence as strong as this if the versions do not differ
}
