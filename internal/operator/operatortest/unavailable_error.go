package operatortest

// UnavailableError is the failure of a fake platform that does not answer.
type UnavailableError struct{}

// Error implements error.
func (UnavailableError) Error() string { return "the fake platform is away" }
