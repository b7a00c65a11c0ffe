package serviceserver

import (
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
)

// Options sets how the stand-in behaves. The zero value is usable.
type Options struct {
	Clock     clockwork.Clock // nil means the real one
	Name      string          // beginning of each incarnation; empty means a fresh identifier
	Latency   time.Duration   // how long a call runs
	ColdCalls int             // calls at once that a cold process bears; zero means any number
	ColdFor   time.Duration   // how long a process stays cold after its start
}

// withDefaults fills in what was left out.
func (o Options) withDefaults() Options {
	if o.Clock == nil {
		o.Clock = clockwork.NewRealClock()
	}
	if o.Name == "" {
		o.Name = uuid.NewString()
	}
	return o
}
