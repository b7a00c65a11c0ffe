package orders

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSilentEngineReleasesTheSlot checks that the owner of an engine that never answers
// releases the slot, which this or a previous owner may have acquired, but not before a
// load must have ended.
func TestSilentEngineReleasesTheSlot(t *testing.T) {
	timing, now := DefaultTiming(), time.Unix(1000, 0)
	m := New(timing)
	m.SetDesired(Version{Model: "m", Version: "v2"}, true, now)
	end := now.Add(timing.LoadTimeout)
	require.NotContains(t, m.SetOwnership(1, end.Add(time.Minute), now), ReleaseLoadSlot{})
	require.NotContains(t, m.Tick(end.Add(-time.Millisecond)), ReleaseLoadSlot{})
	require.Contains(t, m.Tick(end), ReleaseLoadSlot{})
	require.NotContains(t, m.Tick(end.Add(time.Second)), ReleaseLoadSlot{}, "once per load timeout")
}
