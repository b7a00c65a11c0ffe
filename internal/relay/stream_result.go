package relay

import "siskintide.example/siskintide/internal/core"

// StreamResult is the result of a caller's stream.
type StreamResult struct {
	Refusal   *core.Refusal // nil if the complete answer was delivered
	Delivered core.Sequence // tokens delivered, including those of earlier connections
}
