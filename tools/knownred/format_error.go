package main

import "fmt"

// formatError reports a line of the list that does not have the form of an entry.
type formatError struct {
	path string
	line int
}

// Error implements error.
func (e *formatError) Error() string {
	return fmt.Sprintf("%s:%d: want %d fields separated by \" | \"", e.path, e.line, fieldCount)
}
