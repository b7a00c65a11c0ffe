package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

// emptyEngine returns the machine of a new owner with the fence 5 and the load slot, and what it does when it has
// read that the engine holds nothing and that its last order had the given fence.
func emptyEngine(checksFences, holdsTwo bool, lastFence core.Fence, now time.Time) (*Machine, []Effect) {
	m := New(DefaultTiming())
	m.SetChecksFences(checksFences)
	m.SetDesired(versions[0], holdsTwo, now)
	m.hasSlot = true
	m.SetOwnership(5, now.Add(leaseTTL), now)
	return m, m.HandleState(StateResponse{ID: m.readID, OK: true, Fence: lastFence}, now)
}

func orderKinds(effects []Effect) (kinds []OrderKind) {
	for _, effect := range effects {
		if order, ok := effect.(SendOrder); ok {
			kinds = append(kinds, order.Kind)
		}
	}
	return kinds
}

// TestFormerOwnersLoadIsFencedOff guards against an engine with room for one version that holds two: a load that the
// former owner sent and that arrives after the new owner has read the state, but before its first order, has the
// highest fence that the engine knows. The new owner must raise the fence before it relies on the state.
func TestFormerOwnersLoadIsFencedOff(t *testing.T) {
	now := time.Unix(50, 0)
	m, effects := emptyEngine(true, false, 4, now)
	require.Equal(t, []OrderKind{Unload}, orderKinds(effects))

	now = now.Add(m.timing.BusyReadInterval)
	m.Tick(now)
	lost := m.HandleState(StateResponse{ID: m.readID, OK: true, Fence: 4}, now)
	require.Equal(t, []OrderKind{Unload}, orderKinds(lost), "the order that raises the fence was lost")

	now = now.Add(m.timing.BusyReadInterval)
	m.Tick(now)
	raised := m.HandleState(StateResponse{ID: m.readID, OK: true, Fence: 5}, now)
	require.Equal(t, []OrderKind{Load}, orderKinds(raised))
}

// TestLateLoadIsFoundByTheReadAfterTheFence checks that a former owner's load that the engine accepted before the
// fence was raised is unloaded first.
func TestLateLoadIsFoundByTheReadAfterTheFence(t *testing.T) {
	now := time.Unix(50, 0)
	m, _ := emptyEngine(true, false, 4, now)
	now = now.Add(m.timing.BusyReadInterval)
	m.Tick(now)
	late := []LoadedVersion{{Version: versions[1]}}
	m.HandleState(StateResponse{ID: m.readID, OK: true, Fence: 5, Versions: late}, now)
	effects := m.Tick(now)
	require.Equal(t, []OrderKind{Unload}, orderKinds(effects))
	require.Equal(t, versions[1], effects[0].(SendOrder).Version)
}

// TestNoFenceOrderWhereItIsNotNeeded guards against additional orders to engines that ignore fences, have room for
// two versions, or have accepted an order of this ownership.
func TestNoFenceOrderWhereItIsNotNeeded(t *testing.T) {
	for name, c := range map[string]struct {
		checksFences, holdsTwo bool
		lastFence              core.Fence
	}{
		"fences ignored":    {false, false, 0},
		"room for two":      {true, true, 4},
		"fence of this one": {true, false, 5},
	} {
		t.Run(name, func(t *testing.T) {
			_, effects := emptyEngine(c.checksFences, c.holdsTwo, c.lastFence, time.Unix(50, 0))
			require.Equal(t, []OrderKind{Load}, orderKinds(effects))
		})
	}
}
