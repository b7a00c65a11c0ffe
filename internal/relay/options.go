package relay

import (
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/desk"
)

// Options is what a relay works with.
type Options struct {
	Controller desk.Controller
	Engines    Engines
	Clock      clockwork.Clock
	Metrics    Metrics
	Budget     *RetryBudget
}
