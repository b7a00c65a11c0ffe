package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
)

// engineOrders is the state of the orders that this host gives to one owned engine.
type engineOrders struct {
	machine *orders.Machine
	former  orders.OldStreamTracker
	fence   core.Fence
	stopped bool // the engine takes no new work while it changes versions

	giving    bool      // an attempt to free the slot is not answered
	giveAgain time.Time // when to try again to free the slot; zero if it need not be
}
