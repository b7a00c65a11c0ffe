package orders

import "siskintide.example/siskintide/internal/core"

// StateResponse is the response to ReadState. The other fields are valid only if OK is set.
type StateResponse struct {
	ID          uint64
	OK          bool
	Incarnation core.Incarnation
	Fence       core.Fence // of the last order that the engine has accepted
	Versions    []LoadedVersion
}
