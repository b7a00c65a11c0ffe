package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const faultsEnd = 70 * time.Second

func drawFaults(t *rapid.T, hosts int) []fault {
	generator := rapid.Custom(func(t *rapid.T) fault {
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
	return rapid.SliceOfN(generator, 0, 8).Draw(t, "faults")
}

func TestAtMostOneOwnerAndRecoveryFromFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(2, 4).Draw(t, "hosts")
		s := newSimulation(t, rapid.Int64().Draw(t, "seed"), hosts, 5, drawFaults(t, hosts))
		s.runUntil(faultsEnd + maxRecovery)
		require.Empty(t, s.unowned(), "%q", s.trace)
	})
}

func TestPlatformOutageKeepsOwners(t *testing.T) {
	for seed := range int64(20) {
		start := 30*time.Second + time.Duration(seed)*stepLength
		s := newSimulation(t, seed, 3, 6, []fault{{outage, 0, start, start + time.Minute}})
		s.runUntil(start)
		require.Empty(t, s.unowned())
		for s.now < start+2*time.Minute {
			s.runUntil(s.now + stepLength)
			require.Empty(t, s.unowned(), "%v after the start of the outage", s.now-start)
		}
	}
}

func TestNewHostGetsItsShare(t *testing.T) {
	s := newSimulation(t, 1, 1, 12, nil)
	s.runUntil(20 * time.Second)
	require.Empty(t, s.unowned())
	s.start(1)
	joined := s.now
	s.runUntil(joined + DefaultTiming().HandoverDelay)
	for _, target := range s.targets {
		require.Equal(t, []string{"h0-0"}, s.owners(target, true), "nothing is handed over early")
	}
	s.runUntil(joined + maxRecovery)
	shares := map[string]int{}
	for _, target := range s.targets {
		for _, owner := range s.owners(target, true) {
			shares[owner]++
		}
	}
	require.Equal(t, len(s.targets), shares["h0-0"]+shares["h1-1"])
	require.LessOrEqual(t, max(shares["h0-0"], shares["h1-1"]), maxTargetsPerHost(len(s.targets), 2))
}

// TestRegressionSchedules runs fault schedules that failed once.
func TestRegressionSchedules(t *testing.T) {
	cases := []struct {
		name   string
		seed   int64
		hosts  int
		faults []fault
	}{
		{"renewals of a new epoch starved a successor that acquired rows of an old epoch", 3, 4, []fault{
			{leaveHost, 3, 0, 4 * time.Second}, {pauseHost, 3, 4 * time.Second, 24 * time.Second},
			{cutPlatform, 2, 3 * time.Second, 9 * time.Second}, {outage, 2, 15 * time.Second, 19 * time.Second},
			{outage, 0, 7 * time.Second, 22 * time.Second}, {lostResponses, 0, 22 * time.Second, 26 * time.Second},
		}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(t, c.seed, c.hosts, 5, c.faults)
			s.runUntil(faultsEnd + maxRecovery)
			require.Empty(t, s.unowned(), "%q", s.trace)
		})
	}
}
