package edgehost

import (
	"context"
	"net/http"
	"time"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/telemetry"
)

const (
	// headerSlack is the size beyond the configuration's limit up to which the gateway refuses a head by itself,
	// with the id of the request in the log.
	headerSlack = 4 << 10
	// maxInternalHeaderBytes bounds the head of requests of other hosts and of the platform's checks.
	maxInternalHeaderBytes = 16 << 10
	// internalReadTimeout bounds the time to read the head of a request of another host or of the platform's checks,
	// and again the time to read the whole request. They have no bodies.
	internalReadTimeout = 3 * time.Second
	// internalWriteTimeout bounds the time for which such a response may be written. It ends when a link begins.
	internalWriteTimeout = 10 * time.Second
	// internalIdleTimeout bounds the time between two such requests of a connection.
	internalIdleTimeout = 15 * time.Second
)

// newLimiters returns the limiters of all listeners.
func (h *Host) newLimiters() map[callerbudget.Listener]*callerlimit.Limiter {
	limiters := map[callerbudget.Listener]*callerlimit.Limiter{
		callerbudget.Callers: h.newLimiter(callerbudget.Callers, h.headerBytes, h.callerTimeouts),
	}
	for _, listener := range []callerbudget.Listener{callerbudget.Peers, callerbudget.Readiness, callerbudget.Metrics} {
		limiters[listener] = h.newLimiter(listener, func() int64 { return maxInternalHeaderBytes }, func() callerbudget.Timeouts {
			return callerbudget.Timeouts{Header: internalReadTimeout, Idle: internalIdleTimeout}
		})
	}
	return limiters
}

// newLimiter returns the limiter of a listener.
func (h *Host) newLimiter(listener callerbudget.Listener, headerBytes func() int64, timeouts func() callerbudget.Timeouts) *callerlimit.Limiter {
	return callerlimit.New(callerlimit.Options{
		Listener:      listener,
		Limits:        h.options.Resources.Limits(listener),
		HeaderBytes:   headerBytes,
		Timeouts:      timeouts,
		EncodeRefusal: h.options.Codec.EncodeRefusal,
		Metrics:       telemetry.NewLimitMetrics(h.metrics.Scope, listener),
		Log:           h.log.WithField("host", h.options.Self.ID),
		Clock:         boottime.Now,
	})
}

// followResources applies new limits of the process until the context ends.
func (h *Host) followResources(ctx context.Context) {
	for {
		select {
		case resources := <-h.options.NewResources:
			h.setResources(resources)
		case <-ctx.Done():
			return
		}
	}
}

// setResources applies new limits of the process. Nothing that is open or in work is closed.
func (h *Host) setResources(resources callerbudget.Resources) {
	for listener, limiter := range h.limiters {
		limiter.SetLimits(resources.Limits(listener))
	}
	h.gateway.SetBodyMemory(resources.BodyMemory())
	h.log.WithField("memory_bytes", resources.Memory).WithField("descriptors", resources.Descriptors).Info("limits of the process in force")
}

// listenInternal serves other hosts or the platform's checks.
func (h *Host) listenInternal(listener callerbudget.Listener, address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadTimeout: internalReadTimeout, WriteTimeout: internalWriteTimeout}
	h.internalServers = append(h.internalServers, server)
	return h.listen(listener, address, server)
}

// headerBytes returns the size of a head that the gateway still refuses by itself, which is a little more than
// the configuration allows; zero if no configuration is known.
func (h *Host) headerBytes() int64 {
	table := h.loop.View().Table
	if table == nil || table.Config.Limits.HeaderBytes <= 0 {
		return 0
	}
	return table.Config.Limits.HeaderBytes + headerSlack
}

// callerTimeouts returns the timeouts of the configuration in force, or the defaults if none is known.
func (h *Host) callerTimeouts() callerbudget.Timeouts {
	var limits core.CallerLimits
	if table := h.loop.View().Table; table != nil {
		limits = table.Config.Limits
	}
	timeouts, _ := callerbudget.TimeoutsOf(limits.HeaderTimeout, limits.IdleTimeout)
	return timeouts
}
