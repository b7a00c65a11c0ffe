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

func TestPreferredOwnersAreSpreadAndMoveLittle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := named[core.HostID]("h", rapid.IntRange(2, 100).Draw(t, "hosts"))
		targets := named[core.TargetID]("t", rapid.IntRange(1, 300).Draw(t, "targets"))
		before := assign(targets, hosts)
		load := map[core.HostID]int{}
		for _, host := range before {
			load[host]++
		}
		bound := roomFor(len(targets), len(hosts))
		for host, n := range load {
			require.LessOrEqual(t, n, bound, "load of %s", host)
		}
		moved := 0
		for gone := range hosts {
			rest := append(append([]core.HostID(nil), hosts[:gone]...), hosts[gone+1:]...)
			for target, host := range assign(targets, rest) {
				if before[target] != host {
					moved++
				}
			}
		}
		require.LessOrEqual(t, moved, 2*len(targets), "each target has to move when its own host goes, and seldom otherwise")
	})
}

func TestNoHostsNoPreference(t *testing.T) {
	require.Empty(t, assign([]core.TargetID{"t"}, nil))
}
