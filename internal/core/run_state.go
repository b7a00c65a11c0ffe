package core

// RunState says whether a refused or failed request had an effect.
type RunState string

const (
	// NotRun means that no byte of the request can have reached a target.
	NotRun RunState = "not_run"
	// RunUnknown means that the request may have run.
	RunUnknown RunState = "unknown"
	// Ran means that the request ran completely or in part.
	Ran RunState = "ran"
)
