package commandline

import "fmt"

// InputError reports an argument that is not valid.
type InputError struct {
	Argument string
	Got      string
	Accepted string
}

// Error implements error.
func (e *InputError) Error() string {
	return fmt.Sprintf("%s: got %s; accepted: %s", e.Argument, e.Got, e.Accepted)
}
