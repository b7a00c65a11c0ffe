package main

import "strings"

// flakyMark begins the description of a failure that does not show in every run.
const flakyMark = "flaky: "

// flaky reports whether the entry's test also passes now and then.
func (e entry) flaky() bool {
	return strings.HasPrefix(strings.Split(e.line, " | ")[fieldSeen], flakyMark)
}
