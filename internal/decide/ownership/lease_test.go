package ownership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"siskintide.example/siskintide/internal/core"
)

var oneTarget = []core.TargetID{"t"}

// runUntil runs a machine until a condition holds, for at most a minute of its time.
func runUntil(t *testing.T, d *driver, condition func() bool) {
	t.Helper()
	for end := d.at.Add(time.Minute); !condition(); {
		require.True(t, d.at.Before(end), "nothing happened")
		d.run(stepLength)
	}
}

func isRenewal(rows CommitRows) bool { return len(rows.Leases) == 1 && len(rows.Owners) == 0 }

func TestLeaseIsTimedFromBeforeTheRenewal(t *testing.T) {
	d := newDriver("a", newTable(), oneTarget, "a", "b")
	d.run(11 * time.Second) // b never takes a lease
	require.True(t, d.owns("t"))
	d.intercept = isRenewal
	runUntil(t, d, func() bool { return len(d.held) > 0 })
	sentAt := d.at
	d.run(2 * time.Second)
	require.Equal(t, Committed, d.table.commit(d.held[0]))
	d.away = true
	d.HandlePeerReport(PeerReport{Host: "b", PlatformReached: true, ReceivedAt: d.at}, d.at)
	d.handle(d.HandleCommit(CommitResponse{ID: d.held[0].ID, Outcome: Committed}, d.at))
	d.run(sentAt.Add(10*time.Second - stepLength).Sub(d.at))
	require.True(t, d.owns("t"))
	d.run(stepLength)
	require.False(t, d.owns("t"), "the lease ends 10 s after the renewal was sent")
	require.Equal(t, oneTarget, d.lost)
}

// holderWithLateRenewal returns a holder whose last renewal was sent shortly before its
// lease ended and is still on its way, and the time at which it was sent.
func holderWithLateRenewal(t *testing.T, shared *table) *driver {
	t.Helper()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(time.Second)
	require.True(t, a.owns("t"))
	a.away = true
	a.SetLiveHosts([]core.HostID{"a", "b"}, a.at)
	a.known["b"] = true
	a.run(7 * time.Second)
	a.intercept = isRenewal
	runUntil(t, a, func() bool { return len(a.held) > 0 })
	require.True(t, a.owns("t"))
	return a
}

func TestLateRenewalFailsAfterTakeover(t *testing.T) {
	shared := newTable()
	a := holderWithLateRenewal(t, shared)
	b := newDriver("b", shared, oneTarget, "b")
	runUntil(t, b, func() bool { return b.owns("t") })
	require.GreaterOrEqual(t, b.at.Sub(epochStart), 11*time.Second, "b waits for lease time and margin")
	require.Equal(t, Conflict, shared.commit(a.held[0]))
	a.away = false
	a.handle(a.HandleCommit(CommitResponse{ID: a.held[0].ID, Outcome: Conflict}, a.at))
	require.False(t, a.owns("t"))
}

func TestTakeoverFailsAfterLateRenewal(t *testing.T) {
	shared := newTable()
	a := holderWithLateRenewal(t, shared)
	b := newDriver("b", shared, oneTarget, "b")
	b.intercept = func(rows CommitRows) bool { return len(rows.Owners) > 0 }
	runUntil(t, b, func() bool { return len(b.held) > 0 })
	require.Equal(t, Committed, shared.commit(a.held[0]))
	require.Equal(t, Conflict, shared.commit(b.held[0]))
}

func TestPausedHolderOwnsNothingAfterItWakes(t *testing.T) {
	d := newDriver("a", newTable(), oneTarget, "a", "b", "c")
	d.run(11 * time.Second)
	require.True(t, d.owns("t"))
	d.away = true
	for range 40 {
		report(d, "b", false)
		report(d, "c", false)
		d.run(time.Second)
	}
	require.True(t, d.Degraded(d.at))
	d.at = d.at.Add(time.Minute)
	require.False(t, d.owns("t"), "before anything is handled")
	report(d, "b", false) // sent before the pause, read after it
	report(d, "c", false)
	d.handle(d.Tick(d.at))
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
	d.away = true // reads fail; transactions are carried out by a peer
	d.intercept = func(rows CommitRows) bool { return true }
	for range 60 {
		d.run(time.Second)
		for _, rows := range d.held {
			answer := CommitResponse{ID: rows.ID, Outcome: d.table.commit(rows)}
			answer.LeaseVersion = d.table.leases["a"].Version
			d.handle(d.HandleCommit(answer, d.at))
		}
		d.held = nil
	}
	require.True(t, d.owns("t"))
	require.False(t, d.Degraded(d.at))
	require.Empty(t, d.lost)
}

func report(d *driver, host core.HostID, reached bool) {
	d.HandlePeerReport(PeerReport{Host: host, PlatformReached: reached, ReceivedAt: d.at}, d.at)
}

func TestDegradedModeNeedsAMajorityThatIsAlsoCutOff(t *testing.T) {
	cases := []struct {
		name          string
		hosts         int
		away, reached int // peers that report, besides the holder
		want          bool
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
			d.away = true
			for range 20 {
				for i, host := range hosts[1:] {
					if i < c.away+c.reached {
						report(d, host, i >= c.away)
					}
				}
				d.run(time.Second)
			}
			require.Equal(t, c.want, d.owns("t"))
			require.Equal(t, c.want, d.Degraded(d.at))
			d.run(10 * time.Second)
			require.Equal(t, c.hosts == 1, d.owns("t"), "evidence that is no longer fresh")
		})
	}
}

func TestDegradedHolderIsNotRobbed(t *testing.T) {
	shared := newTable()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(time.Second)
	require.True(t, a.owns("t"))
	b := newDriver("b", shared, oneTarget, "b")
	for range 60 {
		b.HandlePeerReport(PeerReport{Host: "a", Degraded: true, ReceivedAt: b.at}, b.at)
		b.run(time.Second)
	}
	require.False(t, b.owns("t"))
	b.run(15 * time.Second)
	require.True(t, b.owns("t"), "once the holder is silent")
}

func TestLeavingHostIsSucceededWithoutWaiting(t *testing.T) {
	shared := newTable()
	a := newDriver("a", shared, oneTarget, "a")
	a.run(5 * time.Second)
	before, owns := a.Owns("t", a.at)
	require.True(t, owns)
	b := newDriver("b", shared, oneTarget, "b")
	b.run(time.Second)
	require.False(t, b.owns("t"))
	a.handle(a.Leave(a.at))
	require.Equal(t, oneTarget, a.lost)
	a.run(time.Second)
	b.run(DefaultTiming().PendingReadInterval)
	after, owns := b.Owns("t", b.at)
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
	b.away = true
	b.run(3 * time.Second)
	b.away = false
	b.run(10 * time.Second)
	require.False(t, b.owns("t"), "the holder may not have reached the platform either")
	b.run(5 * time.Second)
	require.True(t, b.owns("t"))
}
