package operator

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
)

// Options configures the interface.
type Options struct {
	Key   string // operator key
	State State
	Store Store
	// OfferConfig hands an accepted configuration to the control thread, which puts it in
	// force if its revision is higher than the one it has.
	OfferConfig func(*core.Config)
	Log         log.Interface
	Clock       clockwork.Clock
}
