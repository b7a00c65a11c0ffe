package claims

import "siskintide.example/siskintide/internal/core"

// Result is what the caller gets: an answer, or a refusal.
type Result struct {
	Answer  *Answer
	Refusal *core.Refusal
}
