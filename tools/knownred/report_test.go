package main

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestOnlyListedFailuresArePassedOver(t *testing.T) {
	red := testKey{pkg: "m/internal/a", test: "TestRed"}
	child := testKey{pkg: "m/internal/a", test: "TestRed/case"}
	other := testKey{pkg: "m/internal/a", test: "TestOther"}
	build := testKey{pkg: "m/internal/b"}
	listed := entry{pkg: "internal/a", test: "TestRed", line: "internal/a | TestRed | c | seen | 2"}
	flaky := entry{pkg: "internal/a", test: "TestRed", line: "internal/a | TestRed | c | flaky: seen | 2"}
	for _, c := range []struct {
		name    string
		failed  []testKey
		entries []entry
		want    int
	}{
		{"nothing failed", nil, nil, 0},
		{"a listed test failed", []testKey{red, child}, []entry{listed}, 0},
		{"a test that is not listed failed", []testKey{red, other}, []entry{listed}, 1},
		{"a package did not build", []testKey{build}, []entry{flaky}, 1},
		{"a listed test passed", nil, []entry{listed}, 1},
		{"a flaky test passed", nil, []entry{flaky}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			result := newSummary()
			for _, key := range c.failed {
				result.failed[key] = true
			}
			require.Equal(t, c.want, printReport(io.Discard, result, c.entries))
		})
	}
}

// TestReportNamesKnownFailuresOfThisRun guards against a report that lists all known failures alike, so that the run
// in which a rare one occurred, and its output, are lost.
func TestReportNamesKnownFailuresOfThisRun(t *testing.T) {
	first := entry{pkg: "internal/a", test: "TestFirst", line: "internal/a | TestFirst | c | flaky: seen | 2"}
	second := entry{pkg: "internal/a", test: "TestSecond", line: "internal/a | TestSecond | c | flaky: seen | 3"}
	again := entry{pkg: "internal/a", test: "TestSecond", line: "internal/a | TestSecond | d | flaky: seen | 4"}
	result := newSummary()
	for _, event := range []testEvent{
		{Action: "pass", Package: "m/internal/a", Test: "TestFirst"},
		{Action: "output", Package: "m/internal/a", Test: "TestSecond", Output: "two calls lost\n"},
		{Action: "fail", Package: "m/internal/a", Test: "TestSecond"},
		{Action: "fail", Package: "m/internal/a"},
	} {
		result.add(event)
	}
	var report strings.Builder
	require.Zero(t, printReport(&report, result, []entry{first, second, again}))
	require.Equal(t, `FAIL (known red) m/internal/a TestSecond
two calls lost
known red, did not fail in this run: internal/a | TestFirst | c | flaky: seen | 2
known red, failed in this run: internal/a | TestSecond | c | flaky: seen | 3
known red, failed in this run: internal/a | TestSecond | d | flaky: seen | 4
1 passed, 0 failed, 1 failed as known, 0 skipped
`, report.String())
}
