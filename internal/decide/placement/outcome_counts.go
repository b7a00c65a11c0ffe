package placement

// OutcomeCounts counts how sends to a target ended.
type OutcomeCounts struct {
	Answered int
	Failed   int // or unreachable
}
