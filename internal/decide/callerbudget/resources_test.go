package callerbudget

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// smallest are the resources of the smallest host.
var smallest = Resources{Memory: 112 << 20, Descriptors: 3075}

// TestHostsLinkToTheSmallestHub guards against bounds that other hosts meet: 300 hosts connect at once, and again while
// their former links are still open.
func TestHostsLinkToTheSmallestHub(t *testing.T) {
	const hosts, upgradeHead = 300, 3 << 10
	b := New(smallest.Limits(Peers))
	for round := range 2 {
		for i := range hosts {
			address := fmt.Sprint(i)
			require.Empty(t, b.TakeConnection(address), "%d %d", round, i)
			require.Empty(t, b.Take(Head, address, upgradeHead), "%d %d", round, i)
		}
		for i := range hosts {
			address := fmt.Sprint(i)
			b.Give(address, upgradeHead)
			b.DetachConnection(address)
		}
		require.Zero(t, b.Used(), "links take no memory of the budget")
	}
	require.Equal(t, 2*hosts, b.Connections())
	for range 2 {
		for i := range hosts {
			b.GiveDetached(fmt.Sprint(i))
		}
	}
	require.Zero(t, b.Connections())
	require.Empty(t, b.holdings, "addresses are forgotten")
}

// TestListenersFitTogether guards against shares that exceed the descriptors of the process, or the memory that its state
// leaves below half of the limit.
func TestListenersFitTogether(t *testing.T) {
	const others = 20 // descriptors for the store, links to hubs and the listeners themselves
	for _, r := range []Resources{{}, smallest, {Memory: 536 << 20, Descriptors: 10250}} {
		calls := r.Limits(Callers).Connections // each needs a descriptor for its target
		descriptors, bytes := calls, int64(0)
		for listener := range shares {
			limits := r.Limits(listener)
			descriptors += limits.Connections
			bytes += limits.Bytes
		}
		if r == (Resources{}) {
			r = Resources{Memory: defaultMemory, Descriptors: defaultDescriptors}
		}
		require.LessOrEqual(t, descriptors+others, r.Descriptors-fileDescriptors)
		require.LessOrEqual(t, float64(bytes), 0.391*float64(r.Memory))
	}
}

// TestChecksOnTheSmallestHost guards against bounds that a balancer or a collector of metrics meets, also on a process with
// few descriptors.
func TestChecksOnTheSmallestHost(t *testing.T) {
	for _, r := range []Resources{smallest, {Memory: 64 << 20, Descriptors: 250}} {
		for listener, connections := range map[Listener]int{Readiness: 8, Metrics: 4} {
			b := New(r.Limits(listener))
			for i := range connections {
				require.Empty(t, b.TakeConnection(fmt.Sprint(i)), listener)
				require.Empty(t, b.Take(Head, fmt.Sprint(i), 4<<10), listener)
			}
		}
	}
}
