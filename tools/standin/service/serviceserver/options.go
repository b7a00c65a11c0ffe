package serviceserver

import (
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Options configures the stand-in. The zero value is usable.
type Options struct {
	Clock     clockwork.Clock // nil means the real clock
	Name      string          // prefix of each incarnation; empty means a new UUID
	Latency   time.Duration   // duration of a call
	ColdCalls int             // concurrent calls above which a cold process crashes; zero means no limit
	ColdFor   time.Duration   // time after its start for which a process is cold
}

// withDefaults returns the options with unset values replaced.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Name == "" {
		o.Name = uuid.NewString()
	}
	return o
}
