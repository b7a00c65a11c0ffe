package cluster

// StepError reports a failed step and its reason.
type StepError struct {
	Step   string
	Reason string
}

// Error implements error.
func (e *StepError) Error() string { return e.Step + ": " + e.Reason }
