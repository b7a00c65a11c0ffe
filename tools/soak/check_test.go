package main

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/platform/platformtest"
)

// TestCheckResumable guards against a check that takes a run which begins late for a further request, or that misses one.
func TestCheckResumable(t *testing.T) {
	sentAt := time.Now()
	run := func(runner string, received, began time.Duration, moved bool) platformtest.Run {
		r := platformtest.Run{Runner: runner, Received: sentAt.Add(received), Started: sentAt.Add(began), Headers: map[string][]string{}}
		if moved {
			r.Headers[platformtest.HeaderKVFrom] = []string{"engine/copy"}
		}
		return r
	}
	for name, c := range map[string]struct {
		runs   []platformtest.Run // in the order of their begin
		broken bool
	}{
		"moved beyond the number of engines": {[]platformtest.Run{run("a", 0, 0, false), run("b", 1, 1, false), run("c", 2, 2, false), run("d", 3, 3, true)}, false},
		"first engine begins last":           {[]platformtest.Run{run("b", 1, 1, false), run("c", 2, 2, false), run("d", 3, 3, true), run("a", 0, 4, false)}, false},
		"sent again":                         {[]platformtest.Run{run("a", 0, 0, false), run("b", 1, 1, false), run("c", 2, 2, true), run("d", 3, 3, false)}, true},
		"sent again, begins first":           {[]platformtest.Run{run("d", 3, 3, false), run("a", 0, 4, false), run("b", 1, 5, false), run("c", 2, 6, true)}, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := &soak{}
			require.True(t, s.checkResumable(&sentRequest{resumable: true}, c.runs), "ran at four engines")
			require.Equal(t, c.broken, len(s.violations) > 0)
		})
	}
}
