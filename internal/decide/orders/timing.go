package orders

import "time"

// Timing holds the durations that Machine works with.
type Timing struct {
	OrderTimeout     time.Duration // longest time for an order to reach the engine and be accepted
	ClockMargin      time.Duration // part of the lease that is not used, to cover clock drift
	BusyReadInterval time.Duration // between reads of the state while a change is under way; also between slot requests
	IdleReadInterval time.Duration // between reads of the state otherwise
	LoadTimeout      time.Duration // an engine that has not made a load ready, or not answered, by then loses its slot
}

// DefaultTiming returns the durations for ownership leases of 10 s.
func DefaultTiming() Timing {
	return Timing{
		OrderTimeout:     2 * time.Second,
		ClockMargin:      time.Second,
		BusyReadInterval: 2 * time.Second,
		IdleReadInterval: 15 * time.Second,
		LoadTimeout:      10 * time.Minute,
	}
}
