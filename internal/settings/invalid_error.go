package settings

import "strings"

// InvalidError reports files whose content is not accepted.
type InvalidError struct {
	Problems []Problem
}

// Error implements error. It returns one line for each problem.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, problem := range e.Problems {
		lines = append(lines, problem.String())
	}
	return strings.Join(lines, "\n")
}
