package main

// result holds the figures of one run. Times are in milliseconds.
type result struct {
	Mix               string  `json:"mix"`
	LoadPercent       int     `json:"load_percent"`
	Policy            string  `json:"policy"`
	Arrived           int     `json:"arrived"`
	Completed         int     `json:"completed"`
	CompletedTokens   int     `json:"completed_tokens"`
	Refused           int     `json:"refused"`
	NotStarted        int     `json:"not_started"` // still without a first token at the end of the run
	Preemptions       int     `json:"preemptions"`
	MemoryPercent     float64 `json:"memory_percent"` // mean use of the engines' memory
	StallMSPerRequest float64 `json:"stall_ms_per_request"`
	FirstTokenMeanMS  float64 `json:"first_token_mean_ms"`
	FirstTokenP95MS   float64 `json:"first_token_p95_ms"`
	GapP999MS         float64 `json:"gap_p99_9_ms"`
	WorstGapP95MS     float64 `json:"worst_gap_p95_ms"`
	WorstGapP99MS     float64 `json:"worst_gap_p99_ms"`
}
