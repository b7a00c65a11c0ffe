package main

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
)

// printReport prints the results and returns the exit code.
func printReport(w io.Writer, result *summary, entries []entry) int {
	failedByEntry, unexpected := classify(result, entries)
	for _, key := range unexpected {
		printFailure(w, "FAIL", result, key)
	}
	known := map[testKey]bool{}
	for _, e := range entries {
		for _, key := range failedByEntry[e] {
			if !known[key] {
				known[key] = true
				printFailure(w, "FAIL (known red)", result, key)
			}
		}
	}
	for _, e := range entries {
		if len(failedByEntry[e]) > 0 {
			fmt.Fprintln(w, "known red, failed in this run:", e.line)
		} else {
			fmt.Fprintln(w, "known red, did not fail in this run:", e.line)
		}
	}
	code := 0
	if len(unexpected) > 0 {
		code = 1
	}
	for _, e := range entries {
		if len(failedByEntry[e]) == 0 && !e.isFlaky() {
			fmt.Fprintln(w, "stale entry, its test did not fail:", e.line)
			code = 1
		}
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d failed as known, %d skipped\n", countTests(result.passed), len(unexpected), len(known), countTests(result.skipped))
	return code
}

// printFailure prints a failed test and its output. The output of a known failure is kept as well, because a rare
// failure may not come again.
func printFailure(w io.Writer, label string, result *summary, key testKey) {
	fmt.Fprintf(w, "%s %s %s\n", label, key.pkg, key.test)
	if output := result.output[key]; output != nil {
		fmt.Fprint(w, output.String())
	}
}

// classify returns the failed tests of each entry, and the failed tests that are not listed.
func classify(result *summary, entries []entry) (map[entry][]testKey, []testKey) {
	failedByEntry := map[entry][]testKey{}
	var unexpected []testKey
	for _, key := range sortedKeys(result.failed) {
		if key.test == "" && result.hasFailedTest(key.pkg) {
			continue
		}
		listed := false
		for _, e := range entries {
			if e.matches(key) {
				failedByEntry[e], listed = append(failedByEntry[e], key), true
			}
		}
		if !listed && !failedOnlyByListedSubtests(key, result, entries) {
			unexpected = append(unexpected, key)
		}
	}
	return failedByEntry, unexpected
}

// failedOnlyByListedSubtests reports whether the test has failed subtests and all of them
// are listed.
func failedOnlyByListedSubtests(key testKey, result *summary, entries []entry) bool {
	found := false
	for subtest := range result.failed {
		if subtest.pkg != key.pkg || !strings.HasPrefix(subtest.test, key.test+"/") {
			continue
		}
		listed := slices.ContainsFunc(entries, func(e entry) bool { return e.matches(subtest) })
		if !listed && !failedOnlyByListedSubtests(subtest, result, entries) {
			return false
		}
		found = true
	}
	return found
}

func sortedKeys(set map[testKey]bool) []testKey {
	return slices.SortedFunc(maps.Keys(set), func(a, b testKey) int {
		return strings.Compare(a.pkg+" "+a.test, b.pkg+" "+b.test)
	})
}
