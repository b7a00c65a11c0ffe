package core

// TargetKind declares the bounds of a kind of target.
type TargetKind struct {
	ID               TargetKindID `json:"id"`
	Role             TargetRole   `json:"role"`
	ColdStreams      int          `json:"cold_streams"`        // streams that a target bears right after its start
	WarmUpS          int64        `json:"warm_up_s,omitempty"` // time at the cold floor before more streams are given; zero means a default
	WarmStreams      int          `json:"warm_streams"`        // streams that a warm target bears
	MemoryTokens     Tokens       `json:"memory_tokens,omitempty"`
	FirstTokenMS     int64        `json:"first_token_ms,omitempty"` // first-token bound of a warm target
	TokenGapMS       int64        `json:"token_gap_ms,omitempty"`   // token-gap bound of a warm target
	ChecksFences     bool         `json:"checks_fences"`            // the target refuses an order with an old fence
	WeightBytes      int64        `json:"weight_bytes,omitempty"`   // largest weights that fit
	MaxContextTokens Tokens       `json:"max_context_tokens,omitempty"`
}
