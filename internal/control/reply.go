package control

import (
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/desk"
)

// reply answers a pending demand: a grant, or a refusal if that is not nil.
type reply struct {
	grant   desk.Grant
	refusal *core.Refusal
}
