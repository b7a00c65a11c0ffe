package hub

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"siskintide.example/siskintide/internal/core"
)

const ms = time.Millisecond

func newHost(id, dataCentre string) core.Host {
	return core.Host{ID: core.HostID(id), DataCentre: core.DataCentreID(dataCentre)}
}

func newHostWithCapacity(id, dataCentre string, capacity float64) core.Host {
	host := newHost(id, dataCentre)
	host.Capacity = capacity
	return host
}

func ids(hosts []core.Host) []core.HostID {
	var all []core.HostID
	for _, h := range hosts {
		all = append(all, h.ID)
	}
	return all
}

func TestCandidates(t *testing.T) {
	members := []core.Host{newHostWithCapacity("big", "a", 0.8), newHostWithCapacity("a2", "a", 0.4), newHostWithCapacity("b1", "b", 0.6), newHostWithCapacity("b2", "b", 0.4), newHostWithCapacity("c1", "c", 0.3)}
	for self, want := range map[core.Host][2][]core.HostID{
		members[0]:          {nil, {"a2", "b1", "b2"}},
		members[1]:          {{"big"}, {"b1", "b2"}},
		members[3]:          {{"big", "b1", "a2"}, nil},
		members[2]:          {{"big"}, {"a2", "b2"}},
		members[4]:          {{"big"}, {"b1", "b2"}},
		newHost("new", "c"): {{"big", "c1", "b1"}, nil},
	} {
		t.Run(string(self.ID), func(t *testing.T) {
			before, reserve := Candidates(self, members)
			require.Equal(t, want[0], ids(before))
			require.Equal(t, want[1], ids(reserve))
		})
	}
}

func twoCandidates() *Chooser {
	c := NewChooser()
	c.SetCandidates([]core.Host{newHost("x", "a"), newHost("y", "a")}, nil, 3)
	c.SetLinked("x", true)
	c.SetLinked("y", true)
	return c
}

func TestSilentHubIsReplaced(t *testing.T) {
	c := twoCandidates()
	require.Equal(t, Plan{Hub: "x", RequestDue: true}, c.Next(1000*ms, 0, false, true))
	require.Equal(t, Plan{Hub: "x", ReadStore: true}, c.Next(1010*ms, 0, false, true))
	c.RecordResponse("x", 1000*ms, 100*ms, true)
	require.Equal(t, Plan{Hub: "x"}, c.Next(1100*ms, 200*ms, true, true))
	require.Equal(t, Plan{Hub: "x", RequestDue: true}, c.Next(1400*ms, 500*ms, true, true))
	require.Equal(t, Plan{Hub: "y", RequestDue: true}, c.Next(1800*ms, 900*ms, true, true))
	require.Equal(t, Plan{Hub: "y"}, c.Next(2110*ms, 1210*ms, true, true))
	require.Equal(t, Plan{Hub: "y", ReadStore: true}, c.Next(2140*ms, 1510*ms, true, true))
}

// TestStaleHubIsReplaced checks that a newly chosen hub has settleTime to read the store,
// during which the host reads the store itself, and is replaced if its data is still stale
// after that.
func TestStaleHubIsReplaced(t *testing.T) {
	c := twoCandidates()
	for now := 1000 * ms; now <= 2000*ms; now += 200 * ms {
		require.Equal(t, core.HostID("x"), c.Next(now, 1600*ms, true, true).Hub)
		require.True(t, c.Next(now, 1600*ms, true, true).ReadStore)
		c.RecordResponse("x", now, 1300*ms, true)
	}
	require.Equal(t, core.HostID("y"), c.Next(2010*ms, 0, true, true).Hub)
}

// TestHubThatProvesNothingIsReplaced checks that a host leaves a hub that responds but cannot prove
// its data to be current, such as one that has lost the store, before its own data is so old that it
// reads the store. While it kept such a hub it read the store by itself.
func TestHubThatProvesNothingIsReplaced(t *testing.T) {
	c := twoCandidates()
	provenAt, onY := time.Second, 0
	for now := time.Second; now < 40*time.Second; now += 100 * ms {
		plan := c.Next(now, now-provenAt, true, true)
		require.False(t, plan.ReadStore, now)
		if plan.Hub == "y" {
			onY++
		}
		if !plan.RequestDue {
			continue
		}
		c.RecordResponse(plan.Hub, now, 0, plan.Hub == "y")
		if plan.Hub == "y" {
			provenAt = now
		} else {
			c.RecordOutdated(plan.Hub, now+10*ms)
		}
	}
	require.Greater(t, onY, 300)
}

func TestReserveIsUsedWhenTheStoreCannotBeRead(t *testing.T) {
	c := NewChooser()
	c.SetCandidates(nil, []core.Host{newHost("z", "a")}, 2)
	c.SetLinked("z", true)
	require.Empty(t, c.Next(1000*ms, 0, true, true).Hub)
	require.Equal(t, Plan{Hub: "z", RequestDue: true, ReadStore: true}, c.Next(3000*ms, 2000*ms, true, false))
	require.Empty(t, c.Next(3100*ms, 0, true, true).Hub)
}

func TestBetterHubIsChosenWhenLinkedAgain(t *testing.T) {
	c := twoCandidates()
	c.SetLinked("x", false)
	require.Equal(t, core.HostID("y"), c.Next(1000*ms, 0, true, true).Hub)
	c.SetLinked("x", true)
	require.Equal(t, Plan{Hub: "x", RequestDue: true}, c.Next(1010*ms, 0, true, true))
}

func TestHubWithSubscribersReadsTheStore(t *testing.T) {
	c := twoCandidates()
	require.False(t, c.Next(1010*ms, 0, true, true).ReadStore)
	c.RecordRequest("z", 1020*ms)
	require.True(t, c.Next(1030*ms, 0, true, true).ReadStore)
	require.False(t, c.Next(2700*ms, 0, true, true).ReadStore)
}

// TestStartedHostWaitsForAHub checks when a host without data reads the store itself: while it
// waits for a hub it must not, since all hosts may start together, and the first in rank, for
// which no other host reads, must at once.
func TestStartedHostWaitsForAHub(t *testing.T) {
	other := []core.Host{newHost("x", "a")}
	for name, c := range map[string]struct {
		candidates []core.Host
		hosts      int
		readsAfter time.Duration
	}{
		"list of hosts not known": {nil, 0, 500 * ms},
		"first of many":           {nil, 300, 0},
		"one of many":             {other, 300, 500 * ms},
		"one of seven":            {other, 7, 14 * ms},
		"alone":                   {nil, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			chooser := NewChooser()
			chooser.SetCandidates(c.candidates, nil, c.hosts)
			for now := 1000 * ms; now < 2000*ms; now += ms {
				require.Equal(t, now-1000*ms >= c.readsAfter, chooser.Next(now, 0, false, true).ReadStore, now)
			}
		})
	}
}

// TestStaleHostReadsTheStore checks that under any sequence of link changes and responses a
// host reads the store itself while its data is stale, or older than ReadInterval without a
// hub, and that a hub that does not respond is replaced.
func TestStaleHostReadsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := twoCandidates()
		now, unanswered := time.Second, map[core.HostID]time.Duration{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "wait")) * ms
			id := core.HostID(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "host"))
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				c.SetLinked(id, rapid.Bool().Draw(t, "up"))
				delete(unanswered, id)
			case 1:
				c.RecordResponse(id, now, time.Duration(rapid.IntRange(0, 2000).Draw(t, "age"))*ms, true)
				delete(unanswered, id)
			default:
				age := time.Duration(rapid.IntRange(0, 3000).Draw(t, "own age")) * ms
				plan := c.Next(now, age, true, true)
				require.True(t, plan.ReadStore || age <= readAfter && (plan.Hub != "" || age <= ReadInterval(3)))
				for hubID, sentAt := range unanswered {
					require.False(t, plan.Hub == hubID && now-sentAt > responseTimeout && now-sentAt < responseTimeout+avoidPeriod, "a silent hub is kept")
				}
				if _, waiting := unanswered[plan.Hub]; plan.RequestDue && !waiting {
					unanswered[plan.Hub] = now
				}
				for hubID, sentAt := range unanswered {
					if now-sentAt > responseTimeout {
						delete(unanswered, hubID)
					}
				}
			}
		}
	})
}
