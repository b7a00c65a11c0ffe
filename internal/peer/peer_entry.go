package peer

import (
	"github.com/cenkalti/backoff/v5"

	"siskintide.example/siskintide/internal/core"
)

// remote is the table's entry for one other host.
type remote struct {
	host    core.Host
	wanted  bool  // SetPeers names the host
	link    *link // nil while there is none
	pending bool  // a dial runs or waits for its delay
	backoff *backoff.ExponentialBackOff
}

func newRemote(options *Options) *remote {
	delay := backoff.NewExponentialBackOff()
	delay.InitialInterval = options.MinRedialDelay
	delay.MaxInterval = options.MaxRedialDelay
	delay.Reset()
	return &remote{backoff: delay}
}
