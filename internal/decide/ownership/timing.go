package ownership

import "time"

// Timing holds the durations that the machine works with. All are measured on the
// host's own monotonic clock.
type Timing struct {
	LeaseTTL            time.Duration // counted by the holder from before it sent the renewal
	ClockMargin         time.Duration // added by a taker; covers clocks that run at different rates
	RenewInterval       time.Duration // two renewals may fail before the lease lapses
	IdleReadInterval    time.Duration // full read while the host has all that it should own
	PendingReadInterval time.Duration // full read while the host waits for something to own
	RetryDelay          time.Duration // delay after the platform was not available
	AnswerTimeout       time.Duration // an operation without an answer counts as ambiguous; covers a call and a relay
	PeerReportMaxAge    time.Duration // longest age of a peer's report that counts
	MaxPause            time.Duration // a longer silence of the own control thread voids what peers said
	NewHostGrace        time.Duration // time for a new host to get its lease
	HandoverDelay       time.Duration // time for which another host must stay preferred before a hand-over
}

// DefaultTiming returns the durations for production.
func DefaultTiming() Timing {
	return Timing{
		LeaseTTL:            10 * time.Second,
		ClockMargin:         time.Second,
		RenewInterval:       3300 * time.Millisecond,
		IdleReadInterval:    20 * time.Second,
		PendingReadInterval: 2 * time.Second,
		RetryDelay:          time.Second,
		AnswerTimeout:       4500 * time.Millisecond,
		PeerReportMaxAge:    4 * time.Second,
		MaxPause:            2 * time.Second,
		NewHostGrace:        10 * time.Second,
		HandoverDelay:       30 * time.Second,
	}
}

// waitOut is how long a taker must see a lease unchanged.
func (t Timing) waitOut() time.Duration { return t.LeaseTTL + t.ClockMargin }

// renewGrace is how long a holder goes on after an outage without a valid lease. It is
// far below waitOut, which takers count from their first read after the outage.
func (t Timing) renewGrace() time.Duration { return 3 * t.LeaseTTL / 10 }

// watchGap is the longest time between two reads that still counts as watching. A
// longer gap restarts the wait, so that holders can renew after an outage of the platform.
func (t Timing) watchGap() time.Duration { return 3 * t.PendingReadInterval }
