package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const faultsEnd = 70 * time.Second

func drawFaults(t *rapid.T, hosts int) []fault {
	one := rapid.Custom(func(t *rapid.T) fault {
		start := rapid.IntRange(0, 60).Draw(t, "start")
		length := rapid.IntRange(1, 40).Draw(t, "length")
		f := fault{
			Kind:  faultKind(rapid.IntRange(0, int(faultKinds)-1).Draw(t, "kind")),
			Host:  rapid.IntRange(0, hosts-1).Draw(t, "host"),
			Start: time.Duration(start) * time.Second,
		}
		f.End = min(f.Start+time.Duration(length)*time.Second, faultsEnd)
		return f
	})
	return rapid.SliceOfN(one, 0, 8).Draw(t, "faults")
}

func TestNeverTwoOwnersAndEveryTargetComesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		w := newWorld(t, rapid.Int64().Draw(t, "seed"), hosts, 5, drawFaults(t, hosts))
		w.runUntil(faultsEnd + recoveryBound)
		require.Empty(t, w.unowned(), "%q", w.trace)
	})
}

func TestOutageOfThePlatformCostsNoOwner(t *testing.T) {
	for seed := range int64(20) {
		start := 30*time.Second + time.Duration(seed)*stepLength
		w := newWorld(t, seed, 3, 6, []fault{{outage, 0, start, start + time.Minute}})
		w.runUntil(start)
		require.Empty(t, w.unowned())
		for w.at < start+2*time.Minute {
			w.runUntil(w.at + stepLength)
			require.Empty(t, w.unowned(), "%v after the start of the outage", w.at-start)
		}
	}
}

func TestNewHostGetsItsShare(t *testing.T) {
	w := newWorld(t, 1, 1, 12, nil)
	w.runUntil(20 * time.Second)
	require.Empty(t, w.unowned())
	w.start(1)
	joined := w.at
	w.runUntil(joined + DefaultTiming().HandoverDelay)
	for _, target := range w.targets {
		require.Equal(t, []string{"h0-0"}, w.owners(target, true), "nothing is handed over early")
	}
	w.runUntil(joined + recoveryBound)
	shares := map[string]int{}
	for _, target := range w.targets {
		for _, owner := range w.owners(target, true) {
			shares[owner]++
		}
	}
	require.Equal(t, len(w.targets), shares["h0-0"]+shares["h1-1"])
	require.LessOrEqual(t, max(shares["h0-0"], shares["h1-1"]), roomFor(len(w.targets), 2))
}

// Schedules that once failed.
func TestFixedSchedules(t *testing.T) {
	cases := []struct {
		name   string
		seed   int64
		hosts  int
		faults []fault
	}{
		{"renewals of a new epoch starved the taker of rows of an old one", 3, 4, []fault{
			{leaveHost, 3, 0, 4 * time.Second}, {pauseHost, 3, 4 * time.Second, 24 * time.Second},
			{cutPlatform, 2, 3 * time.Second, 9 * time.Second}, {outage, 2, 15 * time.Second, 19 * time.Second},
			{outage, 0, 7 * time.Second, 22 * time.Second}, {lostAnswers, 0, 22 * time.Second, 26 * time.Second},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w := newWorld(t, c.seed, c.hosts, 5, c.faults)
			w.runUntil(faultsEnd + recoveryBound)
			require.Empty(t, w.unowned(), "%q", w.trace)
		})
	}
}
