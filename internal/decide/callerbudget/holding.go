package callerbudget

// holding is what the callers of one address have taken.
type holding struct {
	bytes       int64
	connections int
}
