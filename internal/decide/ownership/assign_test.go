package ownership

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

func numbered[T ~string](prefix string, n int) []T {
	names := make([]T, n)
	for i := range names {
		names[i] = T(fmt.Sprintf("%s%d", prefix, i))
	}
	return names
}

// maxMovedShare bounds the share of all targets that move although their own host stays,
// as the mean over the departures of each host. Such moves happen because the maximum per
// host changes with the number of hosts.
const maxMovedShare = 0.15

func TestAssignmentIsBalancedAndStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := numbered[core.HostID]("h", rapid.IntRange(2, 100).Draw(t, "hosts"))
		targets := numbered[core.TargetID]("t", rapid.IntRange(1, 300).Draw(t, "targets"))
		before := assign(targets, hosts)
		load := map[core.HostID]int{}
		for _, host := range before {
			load[host]++
		}
		limit := maxTargetsPerHost(len(targets), len(hosts))
		for host, n := range load {
			require.LessOrEqual(t, n, limit, "load of %s", host)
		}
		avoidable := 0 // moves of targets whose own host stays
		for departed := range hosts {
			remaining := append(append([]core.HostID(nil), hosts[:departed]...), hosts[departed+1:]...)
			for target, host := range assign(targets, remaining) {
				if before[target] != hosts[departed] && before[target] != host {
					avoidable++
				}
			}
		}
		bound := maxMovedShare * float64(len(targets)*len(hosts))
		require.LessOrEqual(t, float64(avoidable), bound, "over the departures of each of %d hosts", len(hosts))
	})
}

func TestAssignWithoutHosts(t *testing.T) {
	require.Empty(t, assign([]core.TargetID{"t"}, nil))
}
