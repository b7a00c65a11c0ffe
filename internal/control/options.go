package control

import (
	"github.com/apex/log"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/ownership"
)

// Options configures a Loop.
type Options struct {
	Self       core.Host
	Session    core.SessionID
	Settings   Settings
	Timing     ownership.Timing
	Clock      clockwork.Clock
	Log        log.Interface
	JitterSeed uint64      // seed of the jitter that spreads the hosts' reads of the configuration's head
	SeedHosts  []core.Host // hosts to contact until the platform's list of hosts is known
}
