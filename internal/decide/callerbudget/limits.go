package callerbudget

// Limits are the bounds of a Budget.
type Limits struct {
	Bytes       int64
	Connections int
}

// LimitsOf returns the bounds for callers of a process with a memory limit in bytes and a number of descriptors; zero if it
// has none.
func LimitsOf(memory int64, descriptors int) Limits {
	return Resources{Memory: memory, Descriptors: descriptors}.Limits(Callers)
}
