package claims

import (
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
)

// Options holds the dependencies and settings of an Executor.
type Options struct {
	Table      Table
	Controller controlapi.Controller
	Clock      clockwork.Clock
	Backoff    time.Duration // wait after a failed platform call; zero means platformBackoff
}
