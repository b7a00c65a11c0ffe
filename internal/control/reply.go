package control

import (
	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/core"
)

// reply is the answer to a ticket request: a refusal if that is not nil, else a grant.
type reply struct {
	grant   controlapi.Grant
	refusal *core.Refusal
}
