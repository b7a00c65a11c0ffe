package loadgen

// SecondStats is what callers saw in one second of a run.
type SecondStats struct {
	Tokens     int     `json:"tokens"`
	Completed  int     `json:"completed"`
	Failed     int     `json:"failed"` // requests that ended in any other way
	WorstGapMS float64 `json:"worst_gap_ms"`
}
