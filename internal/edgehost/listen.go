package edgehost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	// headerTimeout bounds the time to read the header of a request.
	headerTimeout = 3 * time.Second
	// idleTimeout is the time after which idle connections are closed.
	idleTimeout = 15 * time.Second
	// maxInternalHeaderBytes bounds the head of requests of other hosts and of the platform's checks.
	maxInternalHeaderBytes = 16 << 10
)

// start opens the listeners and starts all goroutines.
func (h *Host) start(ctx context.Context) error {
	h.running.Go(func() { h.loop.Run(ctx) })
	h.running.Go(func() { h.options.FollowStore(ctx, h.loop, h.log) })
	h.running.Go(func() { h.runLinks(ctx) })
	if err := h.listen(h.options.CallersAddress, h.callers, h.limiter.Listen); err != nil {
		return err
	}
	if err := h.listenInternal(h.options.Self.PeerAddress, h.linker); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.options.ReadyPath, h.ready)
	if err := h.listenInternal(h.options.ReadyAddress, ready); err != nil {
		return err
	}
	if h.options.MetricsAddress == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", h.metrics.Handler())
	return h.listenInternal(h.options.MetricsAddress, metrics)
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

func (h *Host) listenInternal(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxInternalHeaderBytes}
	h.internalServers = append(h.internalServers, server)
	return h.listen(address, server, func(listener net.Listener) net.Listener { return listener })
}

// listen serves on an address. The listener is wrapped first.
func (h *Host) listen(address string, server *http.Server, wrap func(net.Listener) net.Listener) error {
	listener, err := h.options.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	h.running.Go(func() {
		if err := server.Serve(wrap(listener)); !errors.Is(err, http.ErrServerClosed) {
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
