package control

import (
	"time"

	"siskintide.example/siskintide/internal/decide/orders"
)

// The parts of a lease that orders take. A lease is renewed while two thirds are left, so
// that an order may still be sent after a renewal that failed once.
const (
	orderTimeoutPart = 5
	orderMarginPart  = 10
)

// orderTiming fits the orders to the time of a lease.
func orderTiming(lease time.Duration) orders.Timing {
	timing := orders.DefaultTiming()
	timing.OrderTimeout = lease / orderTimeoutPart
	timing.BusyReadInterval = lease / orderTimeoutPart
	timing.ClockMargin = lease / orderMarginPart
	return timing
}
