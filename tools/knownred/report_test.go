package main

import (
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
			require.Equal(t, c.want, printReport(result, c.entries))
		})
	}
}
