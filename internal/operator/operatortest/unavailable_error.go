package operatortest

// UnavailableError is returned by a fake platform that does not respond.
type UnavailableError struct{}

// Error implements error.
func (UnavailableError) Error() string { return "the fake platform is unavailable" }
