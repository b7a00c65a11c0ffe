package main

import "strings"

// flakyPrefix starts the description of a failure that does not occur in every run.
const flakyPrefix = "flaky: "

// isFlaky reports whether the entry's test may also pass.
func (e entry) isFlaky() bool {
	return strings.HasPrefix(strings.Split(e.line, " | ")[descriptionField], flakyPrefix)
}
