package commandline

import "fmt"

// FindingsError reports that the review of a configuration has findings.
type FindingsError struct {
	Path  string
	Count int
}

// Error implements error.
func (e *FindingsError) Error() string {
	return fmt.Sprintf("%s: findings: %d", e.Path, e.Count)
}
