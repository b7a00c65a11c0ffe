package main

// stepError reports a step of the demo that did not do what it should.
type stepError struct {
	step   string
	reason string
}

// Error implements error.
func (e *stepError) Error() string { return e.step + ": " + e.reason }
