package daemon

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// hostListPeriod is the time between two reads of the platform's list of hosts: 80
	// reads a second for 400 hosts.
	hostListPeriod = 5 * time.Second
	// hostListStart is the period of the first reads, since a starting host knows nobody.
	hostListStart = time.Second
	// hostListStartReads is the number of reads with the short period.
	hostListStartReads = 10
)

// followHosts announces this host and reads the platform's list until the context ends.
func (e *effects) followHosts(ctx context.Context, self core.Host) {
	ticker := time.NewTicker(hostListStart)
	defer ticker.Stop()
	for reads := 0; ; reads++ {
		if reads == hostListStartReads {
			ticker.Reset(hostListPeriod)
		}
		e.readHosts(ctx, self)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// readHosts announces the host, leaving or not, and hands the list to the control loop.
func (e *effects) readHosts(ctx context.Context, self core.Host) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self.Leaving = e.loop.Snapshot().Leaving
	if err := e.platform.Announce(ctx, self); err != nil {
		e.log.WithError(err).Debug("host not announced")
	}
	hosts, err := e.platform.Hosts(ctx)
	if err != nil {
		e.log.WithError(err).Debug("list of hosts not read")
		return
	}
	e.loop.HandleHosts(hosts)
}
