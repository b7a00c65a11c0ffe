package operator

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
)

// Options configures the handler.
type Options struct {
	Key   string // operator key
	State State
	Store Store
	// OfferConfig sends an accepted configuration to the control goroutine, which puts it in
	// force if its revision is higher than the one in force.
	OfferConfig func(*core.Config)
	Log         log.Interface
	Clock       clockwork.Clock
}
