package core

// TargetKind declares the limits and latency bounds of one kind of target.
type TargetKind struct {
	ID               TargetKindID `json:"id"`
	Role             TargetRole   `json:"role"`
	ColdStreams      int          `json:"cold_streams"`        // streams that a target can run right after its start
	WarmUpS          int64        `json:"warm_up_s,omitempty"` // time for which the limit stays at ColdStreams; zero means a default
	WarmStreams      int          `json:"warm_streams"`        // streams that a warm target can run
	MemoryTokens     Tokens       `json:"memory_tokens,omitempty"`
	FirstTokenMS     int64        `json:"first_token_ms,omitempty"` // first-token bound of a warm target
	TokenGapMS       int64        `json:"token_gap_ms,omitempty"`   // token-gap bound of a warm target
	ChecksFences     bool         `json:"checks_fences"`            // the target refuses an order with an outdated fence
	WeightBytes      int64        `json:"weight_bytes,omitempty"`   // size of the largest weights that fit
	MaxContextTokens Tokens       `json:"max_context_tokens,omitempty"`
}
