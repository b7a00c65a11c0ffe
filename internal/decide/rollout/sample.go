package rollout

import "siskintide.example/siskintide/internal/core"

// Sample says where the result of one request is counted.
type Sample struct {
	Route  core.RouteID
	Remote bool   // the target is in another data centre than the host
	New    bool   // the target is of the new version
	Window uint32 // in which the request was placed; see Exposure.Window
}
