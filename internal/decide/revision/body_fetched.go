package revision

import "siskintide.example/siskintide/internal/core"

// BodyFetched is the answer to FetchBody. Config is nil when the body could not be had or
// was not consistent.
type BodyFetched struct {
	Head   Head
	Config *core.Config
}
