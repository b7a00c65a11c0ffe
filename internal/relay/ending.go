package relay

import "siskintide.example/siskintide/internal/core"

// Ending is how a caller's stream ended.
type Ending struct {
	Refusal   *core.Refusal // nil when the whole answer was delivered
	Delivered core.Sequence // tokens that the caller has, earlier connections included
}
