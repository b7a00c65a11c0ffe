package daemon

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/core"
)

const (
	// hostListPeriod is the interval between reads of the platform's list of hosts. With
	// 400 hosts it causes 80 reads a second.
	hostListPeriod = 5 * time.Second
	// hostListStartPeriod is the shorter interval after the start, when the host has no peers yet.
	hostListStartPeriod = time.Second
	// hostListStartReads is the number of reads at the shorter interval.
	hostListStartReads = 10
)

// syncHostList announces this host and reads the platform's list until the context ends.
func (e *effects) syncHostList(ctx context.Context, self core.Host) {
	ticker := time.NewTicker(hostListStartPeriod)
	defer ticker.Stop()
	for reads := 0; ; reads++ {
		if reads == hostListStartReads {
			ticker.Reset(hostListPeriod)
		}
		e.updateHostList(ctx, self)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// updateHostList announces this host with its leaving state, then reads the list of hosts and
// passes it to the control loop.
func (e *effects) updateHostList(ctx context.Context, self core.Host) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	self.Leaving = e.loop.Snapshot().Leaving
	if err := e.platform.Announce(ctx, self); err != nil {
		e.log.WithError(err).Debug("host not announced")
	}
	hosts, err := e.platform.Hosts(ctx)
	if err != nil {
		e.log.WithError(err).Debug("host list not read")
		return
	}
	e.loop.HandleHosts(hosts)
}
