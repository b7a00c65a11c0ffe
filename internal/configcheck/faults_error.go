package configcheck

import (
	"fmt"
	"strings"
)

// FaultsError reports a configuration that is not consistent.
type FaultsError struct {
	Faults []Fault
}

// Error implements error.
func (e *FaultsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, fault := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: got %s; accepted: %s", fault.Key(), fault.Got, fault.Accepted))
	}
	return strings.Join(lines, "; ")
}
