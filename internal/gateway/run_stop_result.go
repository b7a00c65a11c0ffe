package gateway

import "siskintide.example/siskintide/internal/decide/failover"

// runStopResult is the result of asking an engine to stop a generation whose connection has ended.
type runStopResult struct {
	step   failover.StepKind
	result failover.Result
	handle KVHandle // of the moved KV cache; empty for none
	at     string   // address of the engine that the KV cache was moved to
}
