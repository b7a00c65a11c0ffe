package placement

// Tally counts how sends to a target ended.
type Tally struct {
	Answered int
	Failed   int // or unreachable
}
