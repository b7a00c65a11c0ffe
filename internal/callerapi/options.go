package callerapi

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/controlapi"
	"siskintide.example/siskintide/internal/relay"
)

// Options holds the dependencies of a Handler.
type Options struct {
	Controller controlapi.Controller
	Engines    relay.Engines
	Services   ServiceClient
	Claims     ClaimExecutor
	EventKey   []byte // key that authenticates event ids; the same on all hosts of a deployment
	Clock      clockwork.Clock
	Log        log.Interface
	Metrics    Metrics
}
