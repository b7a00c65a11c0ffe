package claims

import (
	"time"

	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
)

// Options is what the executor works with.
type Options struct {
	Table      Table
	Controller controlapi.Controller
	Clock      clockwork.Clock
	Backoff    time.Duration // wait after a failure of the platform; zero means the usual one
}
