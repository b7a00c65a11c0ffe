package placement

import "siskintide.example/siskintide/internal/core"

// grant is a placement that another host was given and has not reported as its work yet.
type grant struct {
	number uint64
	loads  map[core.TargetID]Load
}
