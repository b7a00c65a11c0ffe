package orders

import "time"

// Timing holds the spans of time of one target's orders.
type Timing struct {
	OrderTimeout     time.Duration // longest time that an order takes to reach the engine and be taken
	ClockMargin      time.Duration // lease time that is left unused, against clocks that drift
	BusyReadInterval time.Duration // between reads of the state while something is under way
	IdleReadInterval time.Duration // between reads of the state at rest
	LoadTimeout      time.Duration // a load that is not ready by then gives its slot back and starts anew
}

// DefaultTiming suits ownership leases of 10 s.
func DefaultTiming() Timing {
	return Timing{
		OrderTimeout:     2 * time.Second,
		ClockMargin:      time.Second,
		BusyReadInterval: 2 * time.Second,
		IdleReadInterval: 15 * time.Second,
		LoadTimeout:      10 * time.Minute,
	}
}
