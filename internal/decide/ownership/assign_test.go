package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func named[T ~string](prefix string, n int) []T {
	names := make([]T, n)
	for i := range names {
		names[i] = T(fmt.Sprintf("%s%d", prefix, i))
	}
	return names
}

// movedShare bounds the share of all targets that move, on the mean over departures,
// although their own host stays. The room of a host changes with the number of hosts.
const movedShare = 0.15

func TestPreferredOwnersAreSpreadAndMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := named[core.HostID]("h", rapid.IntRange(2, 100).Draw(t, "hosts"))
		targets := named[core.TargetID]("t", rapid.IntRange(1, 300).Draw(t, "targets"))
		before := assign(targets, hosts)
		load := map[core.HostID]int{}
		for _, host := range before {
			load[host]++
		}
		room := roomFor(len(targets), len(hosts))
		for host, n := range load {
			require.LessOrEqual(t, n, room, "load of %s", host)
		}
		extra := 0 // moves of targets whose own host stays
		for gone := range hosts {
			rest := append(append([]core.HostID(nil), hosts[:gone]...), hosts[gone+1:]...)
			for target, host := range assign(targets, rest) {
				if before[target] != hosts[gone] && before[target] != host {
					extra++
				}
			}
		}
		bound := movedShare * float64(len(targets)*len(hosts))
		require.LessOrEqual(t, float64(extra), bound, "over the departures of each of %d hosts", len(hosts))
	})
}

func TestNoHostsNoPreference(t *testing.T) {
	require.Empty(t, assign([]core.TargetID{"t"}, nil))
}
