package claims

import "siskintide.example/siskintide/internal/core"

// Result is the result of a call: either an answer or a refusal.
type Result struct {
	Answer  *Answer
	Refusal *core.Refusal
}
