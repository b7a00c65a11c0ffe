package control

import (
	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
)

// reply answers a pending demand: a grant, or a refusal if that is not nil.
type reply struct {
	grant   controlapi.Grant
	refusal *core.Refusal
}
