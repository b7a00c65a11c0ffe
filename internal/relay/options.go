package relay

import (
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
)

// Options is what a relay works with.
type Options struct {
	Controller controlapi.Controller
	Engines    Engines
	Clock      clockwork.Clock
	Metrics    Metrics
	Budget     *RetryBudget
}
