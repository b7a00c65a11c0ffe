package edgehost

import (
	"context"
	"time"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/decide/shutdown"
)

const (
	// drainDelay is the time for which a leaving host still accepts connections. The load
	// balancer checks once a second and removes a host after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which all connections are closed.
	exitMargin = 400 * time.Millisecond
	// closeDelay is the time for the last responses to reach their callers before that.
	closeDelay = 100 * time.Millisecond
)

// shutDown fails the readiness check, waits until the load balancer has removed the host,
// and then waits for running requests until shortly before the end of the grace period.
func (h *Host) shutDown() {
	h.log.WithField("grace_ms", h.options.ShutdownGrace.Milliseconds()).Info("host leaves")
	now := boottime.Now()
	schedule := shutdownSchedule(now, h.options.ShutdownGrace)
	h.loop.Leave(schedule)
	responses := time.AfterFunc(schedule.ResponsesUntil-now, h.endRequests)
	defer responses.Stop()
	ctx, cancel := context.WithTimeout(context.Background(), schedule.ResponsesUntil-now+closeDelay)
	defer cancel()
	<-time.After(schedule.ConnectionsUntil - now)
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.WithError(err).Warn("requests were still running at the end of the grace period")
	}
}

// shutdownSchedule returns the schedule of a host that is told to stop and is killed after the grace period.
func shutdownSchedule(now, grace time.Duration) *shutdown.Schedule {
	return &shutdown.Schedule{
		ConnectionsUntil: now + min(drainDelay, grace/2),
		ResponsesUntil:   now + max(grace-exitMargin-closeDelay, grace/2),
	}
}
