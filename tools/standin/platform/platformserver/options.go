package platformserver

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// defaultHostTTL is how long the list keeps a host that no longer announces itself.
const defaultHostTTL = 15 * time.Second

// Options sets how the stand-in behaves. The zero value is usable.
type Options struct {
	Clock   clockwork.Clock // nil means the real one
	HostLag time.Duration   // age of the list of hosts
	HostTTL time.Duration   // zero means 15 s
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.HostTTL == 0 {
		o.HostTTL = defaultHostTTL
	}
	return o
}
