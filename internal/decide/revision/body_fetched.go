package revision

import "siskintide.example/siskintide/internal/core"

// BodyFetched is the result of FetchBody. Config is nil if the body could not be read or was
// not consistent.
type BodyFetched struct {
	Head   Head
	Config *core.Config
}
