package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// printReport prints the results and returns the exit code.
func printReport(result *summary, entries []entry) int {
	failedEntries, unexpected := classify(result, entries)
	for _, key := range unexpected {
		fmt.Printf("FAIL %s %s\n", key.pkg, key.test)
		if output := result.output[key]; output != nil {
			fmt.Print(output.String())
		}
	}
	for _, e := range entries {
		fmt.Println("known red:", e.line)
	}
	code := 0
	if len(unexpected) > 0 {
		code = 1
	}
	for _, e := range entries {
		if !failedEntries[e] && !e.isFlaky() {
			fmt.Println("stale entry, its test did not fail:", e.line)
			code = 1
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", countTests(result.passed), len(unexpected), countTests(result.skipped))
	return code
}

// classify returns the entries whose tests failed, and the failed tests that are not listed.
func classify(result *summary, entries []entry) (map[entry]bool, []testKey) {
	failedEntries := map[entry]bool{}
	var unexpected []testKey
	for _, key := range sortedKeys(result.failed) {
		if key.test == "" && result.hasFailedTest(key.pkg) {
			continue
		}
		listed := false
		for _, e := range entries {
			if e.matches(key) {
				failedEntries[e], listed = true, true
			}
		}
		if !listed && !failedOnlyByListedSubtests(key, result, entries) {
			unexpected = append(unexpected, key)
		}
	}
	return failedEntries, unexpected
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
