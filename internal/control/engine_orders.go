package control

import (
	"time"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/orders"
)

// engineOrders is the state of version changes at one owned engine.
type engineOrders struct {
	machine    *orders.Machine
	oldStreams orders.OldStreamTracker
	fence      core.Fence
	stopped    bool // the engine gets no new work while it changes versions

	releasing      bool      // a release of the load slot is in flight
	retryReleaseAt time.Time // when to retry the release; zero if none is due
}
