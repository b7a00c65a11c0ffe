package cluster

// StepError reports a step that did not do what it should.
type StepError struct {
	Step   string
	Reason string
}

// Error implements error.
func (e *StepError) Error() string { return e.Step + ": " + e.Reason }
