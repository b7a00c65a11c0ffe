package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/orders"
)

// Divisors of the lease duration. A lease is renewed when two thirds of it are left, so an
// order can still be sent after one failed renewal.
const (
	orderTimeoutDivisor = 5
	clockMarginDivisor  = 10
)

// orderTiming derives the timing of orders from the duration of a lease.
func orderTiming(lease time.Duration) orders.Timing {
	timing := orders.DefaultTiming()
	timing.OrderTimeout = lease / orderTimeoutDivisor
	timing.BusyReadInterval = lease / orderTimeoutDivisor
	timing.ClockMargin = lease / clockMarginDivisor
	return timing
}
