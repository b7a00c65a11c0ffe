package main

import "strings"

// summary collects the results of a run.
type summary struct {
	passed  map[testKey]bool
	failed  map[testKey]bool
	skipped map[testKey]bool
	output  map[testKey]*strings.Builder
}

func newSummary() *summary {
	return &summary{
		passed:  map[testKey]bool{},
		failed:  map[testKey]bool{},
		skipped: map[testKey]bool{},
		output:  map[testKey]*strings.Builder{},
	}
}

// add records one event.
func (s *summary) add(event testEvent) {
	key := testKey{pkg: event.Package, test: event.Test}
	switch event.Action {
	case "pass":
		s.passed[key] = true
	case "fail":
		s.failed[key] = true
	case "skip":
		s.skipped[key] = true
	case "output", "build-output":
		if s.output[key] == nil {
			s.output[key] = &strings.Builder{}
		}
		s.output[key].WriteString(event.Output)
	}
}

// countTests returns the number of tests in a set, without the keys of packages.
func countTests(set map[testKey]bool) int {
	count := 0
	for key := range set {
		if key.test != "" {
			count++
		}
	}
	return count
}

// hasFailedTest reports whether a named test of the package failed.
func (s *summary) hasFailedTest(pkg string) bool {
	for key := range s.failed {
		if key.pkg == pkg && key.test != "" {
			return true
		}
	}
	return false
}
