package main

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// report prints the results and returns the exit code.
func report(result *summary, entries []entry) int {
	known, unexpected := classify(result, entries)
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
		if !known[e] && !e.flaky() {
			fmt.Println("stale entry, its test did not fail:", e.line)
			code = 1
		}
	}
	fmt.Printf("%d passed, %d failed, %d skipped\n", tests(result.passed), len(unexpected), tests(result.skipped))
	return code
}

// classify separates listed failures from unexpected ones.
func classify(result *summary, entries []entry) (map[entry]bool, []testKey) {
	known := map[entry]bool{}
	var unexpected []testKey
	for _, key := range sortedKeys(result.failed) {
		if key.test == "" && result.hasFailedTest(key.pkg) {
			continue
		}
		listed := false
		for _, e := range entries {
			if e.matches(key) {
				known[e], listed = true, true
			}
		}
		if !listed && !parentOfKnown(key, result, entries) {
			unexpected = append(unexpected, key)
		}
	}
	return known, unexpected
}

// parentOfKnown reports whether the test failed only because of listed subtests.
func parentOfKnown(key testKey, result *summary, entries []entry) bool {
	found := false
	for child := range result.failed {
		if child.pkg != key.pkg || !strings.HasPrefix(child.test, key.test+"/") {
			continue
		}
		listed := slices.ContainsFunc(entries, func(e entry) bool { return e.matches(child) })
		if !listed && !parentOfKnown(child, result, entries) {
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
