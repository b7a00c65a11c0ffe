package ratelimit

// Verdict is a gate's decision on a request that has just arrived.
type Verdict uint8

const (
	// Admitted means that the request may use a permit now.
	Admitted Verdict = iota + 1
	// Waiting means that the request gets a permit soon, or is rejected.
	Waiting
	// Rejected means that no permit is issued while the request can wait.
	Rejected
)
