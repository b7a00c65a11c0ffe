package placement

// OutcomeCounts counts the outcomes of attempts at a target.
type OutcomeCounts struct {
	Answered int
	Failed   int // failed or unreachable
}
