package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

var oneTarget = []core.TargetID{"t"}

// runUntil runs a machine until a condition holds. It fails after one simulated minute.
func runUntil(t *testing.T, d *driver, condition func() bool) {
	t.Helper()
	for end := d.now.Add(time.Minute); !condition(); {
		require.True(t, d.now.Before(end), "the condition does not hold after a minute")
		d.run(stepLength)
	}
}

func isRenewal(rows CommitRows) bool { return len(rows.Leases) == 1 && len(rows.Owners) == 0 }

func TestLeaseCountsFromSendingTheRenewal(t *testing.T) {
	d := newDriver("a", newTable(), oneTarget, "a", "b")
	d.run(11 * time.Second) // b never takes a lease
	require.True(t, d.owns("t"))
	d.intercept = isRenewal
	runUntil(t, d, func() bool { return len(d.intercepted) > 0 })
	sentAt := d.now
	d.run(2 * time.Second)
	require.Equal(t, Committed, d.table.commit(d.intercepted[0]))
	d.unavailable = true
	d.HandlePeerReport(PeerReport{Host: "b", PlatformReached: true, ReceivedAt: d.now}, d.now)
	d.handle(d.HandleCommit(CommitResponse{ID: d.intercepted[0].ID, Outcome: Committed}, d.now))
	d.run(sentAt.Add(10*time.Second - stepLength).Sub(d.now))
	require.True(t, d.owns("t"))
	d.run(stepLength)
	require.False(t, d.owns("t"), "the lease ends 10 s after the renewal was sent")
	require.Equal(t, oneTarget, d.lost)
}

// holderWithLateRenewal returns a holder that sent its last renewal shortly before its
// lease expires; the renewal is still in flight.
func holderWithLateRenewal(t *testing.T, shared *table) *driver {
	t.Helper()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(time.Second)
	require.True(t, a.owns("t"))
	a.unavailable = true
	a.SetLiveHosts([]core.HostID{"a", "b"}, a.now)
	a.knownHosts["b"] = true
	a.run(7 * time.Second)
	a.intercept = isRenewal
	runUntil(t, a, func() bool { return len(a.intercepted) > 0 })
	require.True(t, a.owns("t"))
	return a
}

func TestLateRenewalFailsAfterTakeover(t *testing.T) {
	shared := newTable()
	a := holderWithLateRenewal(t, shared)
	b := newDriver("b", shared, oneTarget, "b")
	runUntil(t, b, func() bool { return b.owns("t") })
	require.GreaterOrEqual(t, b.now.Sub(startTime), 11*time.Second, "b waits for the lease time and the margin")
	require.Equal(t, Conflict, shared.commit(a.intercepted[0]))
	a.unavailable = false
	a.handle(a.HandleCommit(CommitResponse{ID: a.intercepted[0].ID, Outcome: Conflict}, a.now))
	require.False(t, a.owns("t"))
}

func TestTakeoverFailsAfterLateRenewal(t *testing.T) {
	shared := newTable()
	a := holderWithLateRenewal(t, shared)
	b := newDriver("b", shared, oneTarget, "b")
	b.intercept = func(rows CommitRows) bool { return len(rows.Owners) > 0 }
	runUntil(t, b, func() bool { return len(b.intercepted) > 0 })
	require.Equal(t, Committed, shared.commit(a.intercepted[0]))
	require.Equal(t, Conflict, shared.commit(b.intercepted[0]))
}

func TestPausedHolderOwnsNothingAfterThePause(t *testing.T) {
	d := newDriver("a", newTable(), oneTarget, "a", "b", "c")
	d.run(11 * time.Second)
	require.True(t, d.owns("t"))
	d.unavailable = true
	for range 40 {
		report(d, "b", false)
		report(d, "c", false)
		d.run(time.Second)
	}
	require.True(t, d.Degraded(d.now))
	d.now = d.now.Add(time.Minute)
	require.False(t, d.owns("t"), "before any event is handled")
	report(d, "b", false) // sent before the pause, read after it
	report(d, "c", false)
	d.handle(d.Tick(d.now))
	report(d, "b", false)
	report(d, "c", false)
	d.run(time.Second)
	require.False(t, d.owns("t"))
	require.Equal(t, oneTarget, d.lost)
}

func TestRenewalsThroughAPeerKeepTheLease(t *testing.T) {
	d := newDriver("a", newTable(), oneTarget, "a", "b")
	d.run(11 * time.Second)
	require.True(t, d.owns("t"))
	d.unavailable = true // reads fail, transactions are relayed by a peer
	d.intercept = func(rows CommitRows) bool { return true }
	for range 60 {
		d.run(time.Second)
		for _, rows := range d.intercepted {
			response := CommitResponse{ID: rows.ID, Outcome: d.table.commit(rows)}
			response.LeaseVersion = d.table.leases["a"].Version
			d.handle(d.HandleCommit(response, d.now))
		}
		d.intercepted = nil
	}
	require.True(t, d.owns("t"))
	require.False(t, d.Degraded(d.now))
	require.Empty(t, d.lost)
}

func report(d *driver, host core.HostID, reached bool) {
	d.HandlePeerReport(PeerReport{Host: host, PlatformReached: reached, ReceivedAt: d.now}, d.now)
}

func TestDegradedModeNeedsAMajorityThatIsAlsoCutOff(t *testing.T) {
	cases := []struct {
		name            string
		hosts           int
		cutOff, reached int // peers of the holder that report, without and with access to the platform
		want            bool
	}{
		{"alone in its data centre", 1, 0, 0, true},
		{"one of two, silent peer", 2, 0, 0, false},
		{"two of two", 2, 1, 0, true},
		{"two of three", 3, 1, 0, true},
		{"two of three, third reaches the platform", 3, 1, 1, true},
		{"one of three, others reach the platform", 3, 0, 2, false},
		{"two of four", 4, 1, 0, false},
		{"three of four", 4, 2, 0, true},
		{"five of nine", 9, 4, 0, true},
		{"four of nine", 9, 3, 5, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			hosts := []core.HostID{"a", "b", "c", "d", "e", "f", "g", "h", "i"}[:c.hosts]
			d := newDriver("a", newTable(), oneTarget, hosts...)
			d.run(11 * time.Second)
			require.True(t, d.owns("t"))
			d.unavailable = true
			for range 20 {
				for i, host := range hosts[1:] {
					if i < c.cutOff+c.reached {
						report(d, host, i >= c.cutOff)
					}
				}
				d.run(time.Second)
			}
			require.Equal(t, c.want, d.owns("t"))
			require.Equal(t, c.want, d.Degraded(d.now))
			d.run(10 * time.Second)
			require.Equal(t, c.hosts == 1, d.owns("t"), "the peer reports are too old")
		})
	}
}

func TestDegradedHolderKeepsItsTargets(t *testing.T) {
	shared := newTable()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(time.Second)
	require.True(t, a.owns("t"))
	b := newDriver("b", shared, oneTarget, "b")
	for range 60 {
		b.HandlePeerReport(PeerReport{Host: "a", Degraded: true, ReceivedAt: b.now}, b.now)
		b.run(time.Second)
	}
	require.False(t, b.owns("t"))
	b.run(15 * time.Second)
	require.True(t, b.owns("t"), "once the holder is silent")
}

func TestLeavingHostHandsOverWithoutWaiting(t *testing.T) {
	shared := newTable()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(5 * time.Second)
	before, owns := a.Owns("t", a.now)
	require.True(t, owns)
	b := newDriver("b", shared, oneTarget, "b")
	b.run(time.Second)
	require.False(t, b.owns("t"))
	a.handle(a.Leave(a.now))
	require.Equal(t, oneTarget, a.lost)
	a.run(time.Second)
	b.run(DefaultTiming().PendingReadInterval)
	after, owns := b.Owns("t", b.now)
	require.True(t, owns)
	require.Greater(t, after, before)
	a.run(30 * time.Second)
	require.False(t, a.owns("t"))
	require.True(t, b.owns("t"))
}

func TestFailedReadRestartsTheWait(t *testing.T) {
	shared := newTable()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(time.Second)
	b := newDriver("b", shared, oneTarget, "b")
	b.run(8 * time.Second)
	b.unavailable = true
	b.run(3 * time.Second)
	b.unavailable = false
	b.run(10 * time.Second)
	require.False(t, b.owns("t"), "the holder may have been unable to reach the platform too")
	b.run(5 * time.Second)
	require.True(t, b.owns("t"))
}
