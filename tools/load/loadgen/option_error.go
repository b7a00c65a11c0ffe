package loadgen

import "fmt"

// OptionError reports an invalid option.
type OptionError struct {
	Option string
	Reason string
}

// Error implements error.
func (e *OptionError) Error() string { return fmt.Sprintf("option %s: %s", e.Option, e.Reason) }
