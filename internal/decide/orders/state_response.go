package orders

import "siskintide.example/siskintide/internal/core"

// StateResponse is the answer to ReadState.
type StateResponse struct {
	ID          uint64
	OK          bool
	Incarnation core.Incarnation
	Versions    []LoadedVersion
}
