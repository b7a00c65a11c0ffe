package relay

import (
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
)

// Options configures a Relay. All fields are required.
type Options struct {
	Controller controlapi.Controller
	Engines    Engines
	Clock      clockwork.Clock
	Metrics    Metrics
	Budget     *RetryBudget
}
