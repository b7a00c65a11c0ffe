package callerapi

import "siskintide.example/siskintide/internal/core"

// errorDetail is the JSON form of a refusal.
type errorDetail struct {
	Type         core.RefusalKind `json:"type"`
	Message      string           `json:"message"`
	Run          core.RunState    `json:"run"`
	RetryAfterMS int64            `json:"retry_after_ms"` // zero if the caller should not retry
	Delivered    *core.Sequence   `json:"delivered_tokens,omitempty"`
}
