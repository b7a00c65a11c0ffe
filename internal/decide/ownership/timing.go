package ownership

import "time"

// Timing holds the durations that Machine works with. All are measured on the host's own
// monotonic clock.
type Timing struct {
	LeaseTTL            time.Duration // counted by the holder from before it sent the renewal
	ClockMargin         time.Duration // added by a successor, to cover clocks that run at different rates
	RenewInterval       time.Duration // two renewals may fail before the lease expires
	IdleReadInterval    time.Duration // between full reads while the host owns all targets assigned to it
	PendingReadInterval time.Duration // between full reads while the host waits to acquire a target
	RetryDelay          time.Duration // after the platform was unavailable
	ResponseTimeout     time.Duration // after this time a response counts as ambiguous; covers a call and a relay
	PeerReportMaxAge    time.Duration // older reports of peers are ignored
	MaxPause            time.Duration // a longer pause of the control goroutine discards the reports of peers
	NewHostGrace        time.Duration // time for a new host to get its lease
	HandoverDelay       time.Duration // time for which another host must be the preferred owner before a handover
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
		ResponseTimeout:     4500 * time.Millisecond,
		PeerReportMaxAge:    4 * time.Second,
		MaxPause:            2 * time.Second,
		NewHostGrace:        10 * time.Second,
		HandoverDelay:       30 * time.Second,
	}
}

// takeoverWait returns how long a successor must see a lease row unchanged.
func (t Timing) takeoverWait() time.Duration { return t.LeaseTTL + t.ClockMargin }

// renewalGrace returns how long a holder may own targets without a valid lease after an
// outage. It is far below takeoverWait, which successors count from their first read after
// the outage.
func (t Timing) renewalGrace() time.Duration { return 3 * t.LeaseTTL / 10 }

// maxReadGap returns the longest time between two reads of a lease row that counts as
// continuous observation. A longer gap restarts the wait, so that holders can renew their
// leases after an outage of the platform.
func (t Timing) maxReadGap() time.Duration { return 3 * t.PendingReadInterval }
