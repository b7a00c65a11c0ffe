package loadgen

// GroupStats is what the requests of one class, one team, or all of them showed.
type GroupStats struct {
	Requests            int            `json:"requests"`
	Outcomes            map[string]int `json:"outcomes"`
	Resumed             int            `json:"resumed"`          // times that a broken stream was resumed
	CompletedTokens     int            `json:"completed_tokens"` // of whole answers
	CompletedTokensPerS float64        `json:"completed_tokens_per_s"`
	Stall               Quantiles      `json:"stall_per_request"` // token gaps beyond the bound, added up
	StalledS            float64        `json:"stalled_s"`         // over all requests
	StalledRequests     int            `json:"stalled_requests"`
	TokenGap            Quantiles      `json:"token_gap"`
	LargestGap          Quantiles      `json:"largest_gap_per_stream"`
	FirstToken          Quantiles      `json:"first_token"`
	LateFirstTokens     int            `json:"late_first_tokens"`
	GapsOverBound       int            `json:"token_gaps_over_bound"`
}
