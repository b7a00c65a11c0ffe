package loadgen

// SecondStats holds the statistics of one second of a run.
type SecondStats struct {
	Tokens     int     `json:"tokens"`
	Completed  int     `json:"completed"`
	Failed     int     `json:"failed"` // requests that ended with any other outcome
	WorstGapMS float64 `json:"worst_gap_ms"`
}
