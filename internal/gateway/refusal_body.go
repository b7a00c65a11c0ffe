package gateway

import "siskintide.example/siskintide/internal/core"

// refusalBody is the JSON body of a refusal.
type refusalBody struct {
	Type    core.RefusalKind `json:"type"`
	Message string           `json:"message"`
	Run     core.RunState    `json:"run"`
}
