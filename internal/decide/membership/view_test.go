package membership

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func host(centre, n int) core.Host {
	return core.Host{
		ID:          core.HostID(fmt.Sprintf("dc%d-h%d", centre, n)),
		DataCentre:  core.DataCentreID(fmt.Sprintf("dc%d", centre)),
		PeerAddress: "127.0.0.1:1",
	}
}

func hosts(sizes ...int) []core.Host {
	var all []core.Host
	for centre, size := range sizes {
		for n := range size {
			all = append(all, host(centre, n))
		}
	}
	return all
}

func isLive(v *View, id core.HostID, now time.Time) bool {
	for _, h := range v.Live(now) {
		if h.ID == id {
			return true
		}
	}
	return false
}

func TestLivenessOfALinkedHost(t *testing.T) {
	other := host(0, 1)
	type step struct {
		at        time.Duration
		do        func(v *View, now time.Time)
		live      bool
		reachable bool
		message   string
	}
	list := func(v *View, now time.Time) { v.SetHostList(hosts(2), now) }
	empty := func(v *View, now time.Time) { v.SetHostList(nil, now) }
	heartbeat := func(v *View, now time.Time) { v.HandleHeartbeat(other.ID, Heartbeat{}, now) }
	up := func(v *View, now time.Time) { v.SetLinked(other.ID, true, now) }
	down := func(v *View, now time.Time) { v.SetLinked(other.ID, false, now) }
	none := func(*View, time.Time) {}
	cases := map[string][]step{
		"listed and never in contact": {
			{0, list, true, false, "new"}, {5 * time.Second, list, true, false, "still new"},
			{6 * time.Second, list, false, false, "silent although listed"},
		},
		"in contact although not listed": {
			{0, up, true, true, "linked before it is listed"}, {3 * time.Second, empty, true, true, "not listed"},
			{6 * time.Second, heartbeat, true, true, "heartbeat"}, {10 * time.Second, none, true, true, "heartbeat 4 s ago"},
			{11 * time.Second, none, false, false, "silent"},
		},
		"silent although listed": {
			{0, list, true, false, "new"}, {time.Second, up, true, true, "linked"},
			{2 * time.Second, down, true, false, "link down, handshake 1 s ago"},
			{6 * time.Second, list, false, false, "silent"}, {60 * time.Second, list, false, false, "silent for 59 s"},
			{61 * time.Second, up, true, true, "linked again"},
		},
	}
	for name, steps := range cases {
		t.Run(name, func(t *testing.T) {
			v := New(host(0, 0), DefaultSettings())
			for _, s := range steps {
				now := start.Add(s.at)
				s.do(v, now)
				require.Equal(t, s.live, isLive(v, other.ID, now), "%v %s", s.at, s.message)
				require.Equal(t, s.reachable, v.Reachable(other.ID, now), "%v %s", s.at, s.message)
				require.True(t, isLive(v, host(0, 0).ID, now), "this host")
			}
		})
	}
}

func TestHeartbeatOverridesListedLeaving(t *testing.T) {
	v := New(host(0, 0), DefaultSettings())
	leaving := host(0, 1)
	leaving.Leaving = true
	v.SetHostList([]core.Host{leaving}, start)
	require.True(t, v.Live(start)[1].Leaving)
	v.HandleHeartbeat(leaving.ID, Heartbeat{Session: "next"}, start)
	require.False(t, v.Live(start)[1].Leaving)
	v.SetHostList([]core.Host{host(0, 1)}, start)
	v.HandleHeartbeat(leaving.ID, Heartbeat{Leaving: true}, start)
	require.True(t, v.Live(start)[1].Leaving)
}

func TestUnlinkedHostIsLiveWhileListed(t *testing.T) {
	all := hosts(40)
	v := New(all[0], DefaultSettings())
	v.SetHostList(all, start)
	later := start.Add(time.Minute)
	peers := v.Peers(later)
	require.Len(t, v.Live(later), len(all)-len(peers), "hosts that should be linked are silent, the others are listed")
	v.SetHostList(all[:1], later)
	require.Len(t, v.Live(later), 1)
}

func TestRequestedLinksAreBoundedAndExpire(t *testing.T) {
	settings := DefaultSettings()
	all := hosts(100)
	v := New(all[0], settings)
	v.SetHostList(all, start)
	before := len(v.Peers(start))
	for i, h := range all {
		v.RequestLink(h.ID, start.Add(time.Duration(i)*time.Millisecond))
	}
	now := start.Add(time.Second)
	require.Len(t, v.Peers(now), before+settings.MaxRequestedLinks)
	require.Contains(t, v.Peers(now), all[99], "the latest request")
	require.Len(t, v.Peers(now.Add(settings.RequestedLinkTTL)), before)
}

// links returns the links between all hosts if every host knows all others.
func links(all []core.Host) map[core.HostID]map[core.HostID]bool {
	linked := map[core.HostID]map[core.HostID]bool{}
	for _, h := range all {
		linked[h.ID] = map[core.HostID]bool{}
	}
	for _, h := range all {
		v := New(h, DefaultSettings())
		v.SetHostList(all, start)
		for _, peer := range v.Peers(start) {
			linked[h.ID][peer.ID] = true
			linked[peer.ID][h.ID] = true
		}
	}
	return linked
}

// reachable counts the hosts that are connected to a host, itself included.
func reachable(linked map[core.HostID]map[core.HostID]bool, from core.HostID) int {
	seen := map[core.HostID]bool{from: true}
	for queue := []core.HostID{from}; len(queue) > 0; queue = queue[1:] {
		for next := range linked[queue[0]] {
			if !seen[next] {
				seen[next] = true
				queue = append(queue, next)
			}
		}
	}
	return len(seen)
}

// maxDegree bounds the links of one host in both directions, without requested ones.
const maxDegree = 48

func TestOverlayIsConnectedWithBoundedDegree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sizes := rapid.SliceOfN(rapid.IntRange(0, 60), 1, 4).Draw(t, "sizes")
		sizes[0] = max(sizes[0], 2)
		var all []core.Host
		for _, h := range hosts(sizes...) {
			if len(all) < 2 || rapid.IntRange(0, 9).Draw(t, "live") > 0 {
				all = append(all, h)
			}
		}
		linked := links(all)
		require.Equal(t, len(all), reachable(linked, all[0].ID), "every host is connected to every other")
		for id, peers := range linked {
			require.LessOrEqual(t, len(peers), maxDegree, "links of %s", id)
		}
	})
}

// Bounds on the links of one host at the planned size. Each link carries one heartbeat per
// second in each direction.
const (
	maxPlannedLinks  = 30
	meanPlannedLinks = 18
)

func TestHeartbeatsAtThePlannedSize(t *testing.T) {
	total := 0
	linked := links(hosts(100, 100, 100, 100))
	for id, peers := range linked {
		total += len(peers)
		require.LessOrEqual(t, len(peers), maxPlannedLinks, "links of %s", id)
	}
	mean := float64(total) / float64(len(linked))
	require.LessOrEqual(t, mean, float64(meanPlannedLinks))
	t.Logf("mean %.1f links per host", mean)
}
