package relay

import "siskintide.example/siskintide/internal/core"

// StreamResult is how a caller's stream ended.
type StreamResult struct {
	Refusal   *core.Refusal // nil when the whole answer was delivered
	Delivered core.Sequence // tokens that the caller has, earlier connections included
}
