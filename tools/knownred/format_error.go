package main

import "fmt"

// formatError reports a line that is not an entry.
type formatError struct {
	path string
	line int
}

// Error implements error.
func (e *formatError) Error() string {
	return fmt.Sprintf("%s:%d: want %d fields separated by \" | \"", e.path, e.line, entryFields)
}
