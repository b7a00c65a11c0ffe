package placement

import "siskintide.example/siskintide/internal/core"

// grant is a placement granted to another host that its reports do not include yet.
type grant struct {
	number uint64
	loads  map[core.TargetID]Load
}
