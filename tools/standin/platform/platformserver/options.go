package platformserver

import (
	"time"

	"github.com/jonboulle/clockwork"
)

// defaultHostTTL is how long the list keeps a host that no longer announces itself.
const defaultHostTTL = 15 * time.Second

// Options configures the stand-in. The zero value is usable.
type Options struct {
	Clock   clockwork.Clock // nil means the real clock
	HostLag time.Duration   // age of the list of hosts
	HostTTL time.Duration   // zero means 15 s
}

// withDefaults returns the options with unset values replaced.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.HostTTL == 0 {
		o.HostTTL = defaultHostTTL
	}
	return o
}
