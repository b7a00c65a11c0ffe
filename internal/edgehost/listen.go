package edgehost

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"siskintide.example/siskintide/internal/decide/callerbudget"
)

// start opens the listeners and starts all goroutines.
func (h *Host) start(ctx context.Context) error {
	h.running.Go(func() { h.loop.Run(ctx) })
	h.running.Go(func() { h.options.FollowStore(ctx, h.loop, h.log) })
	h.running.Go(func() { h.runLinks(ctx) })
	h.running.Go(func() { h.followResources(ctx) })
	if err := h.listen(callerbudget.Callers, h.options.CallersAddress, h.callers); err != nil {
		return err
	}
	if err := h.listenInternal(callerbudget.Peers, h.options.Self.PeerAddress, h.linker); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.options.ReadyPath, h.ready)
	if err := h.listenInternal(callerbudget.Readiness, h.options.ReadyAddress, ready); err != nil {
		return err
	}
	if h.options.MetricsAddress == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", h.metrics.Handler())
	return h.listenInternal(callerbudget.Metrics, h.options.MetricsAddress, metrics)
}

// runLinks joins the deployment and then keeps links with other hosts.
func (h *Host) runLinks(ctx context.Context) {
	key, err := h.options.Join(ctx, h.log)
	if err != nil {
		h.log.WithError(err).Info("host stopped before it joined the deployment")
		return
	}
	h.linker.run(ctx, key, h.loop)
}

// listen serves on an address within the limits of the listener.
func (h *Host) listen(of callerbudget.Listener, address string, server *http.Server) error {
	limiter := h.limiters[of]
	listener, err := h.options.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	limiter.Configure(server)
	h.running.Go(func() {
		if err := server.Serve(limiter.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			h.log.WithError(err).WithField("address", address).Error("listener failed")
		}
	})
	return nil
}

// closeAll closes all listeners and connections.
func (h *Host) closeAll() {
	h.endRequests()
	for _, server := range append([]*http.Server{h.callers}, h.internalServers...) {
		if err := server.Close(); err != nil {
			h.log.WithError(err).Warn("listener could not be closed")
		}
	}
}
