package callerapi

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/relay"
)

// Options is what the callers' handler works with.
type Options struct {
	Controller controlapi.Controller
	Engines    relay.Engines
	Services   Services
	Claims     Claims
	EventKey   []byte // authenticates event ids; the same on all hosts of a deployment
	Clock      clockwork.Clock
	Log        log.Interface
	Metrics    Metrics
}
