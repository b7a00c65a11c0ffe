package claims

import "siskintide.example/siskintide/internal/core"

// Result holds what a call returns to its caller: either an answer or a refusal.
type Result struct {
	Answer  *Answer
	Refusal *core.Refusal
}
