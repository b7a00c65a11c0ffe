package rollout

import "siskintide.example/siskintide/internal/core"

// stratum identifies requests that can be compared with each other: those of one route whose targets are in the
// host's data centre, or in another one.
type stratum struct {
	route  core.RouteID
	remote bool
}
