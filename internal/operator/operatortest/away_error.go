package operatortest

// AwayError is the failure of a fake platform that does not answer.
type AwayError struct{}

// Error implements error.
func (AwayError) Error() string { return "the fake platform is away" }
