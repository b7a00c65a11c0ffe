package loadgen

// GroupStats holds the statistics of the requests of one class, of one team, or of all
// requests.
type GroupStats struct {
	Requests            int            `json:"requests"`
	Outcomes            map[string]int `json:"outcomes"`
	Resumed             int            `json:"resumed"`          // resumptions of broken streams
	CompletedTokens     int            `json:"completed_tokens"` // of complete responses
	CompletedTokensPerS float64        `json:"completed_tokens_per_s"`
	Stall               Quantiles      `json:"stall_per_request"` // sum of the excess of each token gap over the bound
	StalledS            float64        `json:"stalled_s"`         // sum over all requests
	StalledRequests     int            `json:"stalled_requests"`
	TokenGap            Quantiles      `json:"token_gap"`
	LargestGap          Quantiles      `json:"largest_gap_per_stream"`
	FirstToken          Quantiles      `json:"first_token"`
	LateFirstTokens     int            `json:"late_first_tokens"`
	GapsOverBound       int            `json:"token_gaps_over_bound"`
}
