package edgehost

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/eventlog"
	"siskintide.example/siskintide/internal/gateway"
	"siskintide.example/siskintide/internal/telemetry"
)

const (
	// headerTimeout bounds the time that a caller takes for a request's header.
	headerTimeout = 3 * time.Second
	// idleTimeout closes callers' connections that are not in use.
	idleTimeout = 15 * time.Second
	// drainDelay is how long a leaving host takes new connections: the balancer asks once
	// a second, and takes a host out after two refusals.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the time before the end of the grace at which requests are given up.
	exitMargin = 400 * time.Millisecond
	// closeTimeout bounds the end of the log and the metrics.
	closeTimeout = 200 * time.Millisecond
)

// Host is one running entry host.
type Host struct {
	options Options
	log     *log.Logger
	sink    *eventlog.Sink
	metrics *telemetry.Registry
	loop    *edgecontrol.Loop
	linker  *linker
	callers *http.Server
	others  []*http.Server
	running sync.WaitGroup
}

// Run serves until the context ends, then shuts down gracefully. It returns an error when
// a listener could not be opened.
func Run(ctx context.Context, options Options) error {
	h := newHost(options)
	life, end := context.WithCancel(context.Background())
	logLife, endLog := context.WithCancel(context.Background())
	logged := make(chan struct{})
	go func() {
		defer close(logged)
		h.sink.Run(logLife, options.Output)
	}()
	err := h.start(life)
	if err == nil {
		h.log.WithField("callers", options.CallersAddress).WithField("data_centre", options.Self.DataCentre).Info("host started")
		<-ctx.Done()
		h.shutDown()
	}
	h.closeAll()
	end()
	h.running.Wait()
	h.log.Info("host stopped")
	endLog()
	select {
	case <-logged:
	case <-time.After(closeTimeout):
	}
	return err
}

func newHost(options Options) *Host {
	h := &Host{options: options, sink: eventlog.NewSink(clockwork.NewRealClock()), metrics: telemetry.NewRegistry()}
	h.log = &log.Logger{Handler: jsonlog.New(h.sink), Level: log.InfoLevel}
	entry := h.log.WithField("host", options.Self.ID)
	h.linker = &linker{self: options.Self, log: entry}
	h.loop = edgecontrol.NewLoop(edgecontrol.Options{
		Self:        options.Self,
		RetryBudget: options.RetryBudget,
		Clock:       boottime.Now,
		Log:         entry,
		Send:        h.linker.Send,
		SetPeers:    h.linker.SetPeers,
	})
	handler := gateway.New(gateway.Options{
		Controller:    h.loop,
		Codec:         options.Codec,
		Mover:         options.Mover,
		Metrics:       telemetry.NewTraffic(h.metrics.Scope),
		Log:           entry,
		Clock:         boottime.Now,
		MaxConfigAge:  options.MaxConfigAge,
		ShutdownGrace: options.ShutdownGrace - drainDelay,
	})
	h.callers = &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
	}
	return h
}

// start opens the listeners and starts all goroutines.
func (h *Host) start(life context.Context) error {
	h.running.Go(func() { h.loop.Run(life) })
	h.running.Go(func() { h.options.FollowStore(life, h.loop, h.log) })
	h.running.Go(func() { h.link(life) })
	if err := h.listen(h.options.CallersAddress, h.callers); err != nil {
		return err
	}
	if err := h.listenOther(h.options.Self.PeerAddress, h.linker); err != nil {
		return err
	}
	ready := http.NewServeMux()
	ready.HandleFunc("GET "+h.options.ReadyPath, h.ready)
	if err := h.listenOther(h.options.ReadyAddress, ready); err != nil {
		return err
	}
	if h.options.MetricsAddress == "" {
		return nil
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", h.metrics.Handler())
	return h.listenOther(h.options.MetricsAddress, metrics)
}

// link joins the other hosts and links with them.
func (h *Host) link(life context.Context) {
	key, err := h.options.Join(life, h.log)
	if err != nil {
		h.log.WithError(err).Info("host ended before it joined the others")
		return
	}
	h.linker.run(life, key, h.loop)
}

func (h *Host) listenOther(address string, handler http.Handler) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	h.others = append(h.others, server)
	return h.listen(address, server)
}

func (h *Host) listen(address string, server *http.Server) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", address, err)
	}
	h.running.Go(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			h.log.WithError(err).WithField("address", address).Error("listener ended")
		}
	})
	return nil
}

// ready answers 200 while the host takes new callers: configuration and registry are
// known, the configuration is proved to be recent, and the host is not leaving.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	view := h.loop.View()
	switch {
	case view.Leaving:
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case !view.RegistryLoaded || !view.ConfigFresh(boottime.Now(), h.options.MaxConfigAge):
		http.Error(w, "configuration or registry is not known to be recent", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// shutDown lets the balancer learn that the host leaves, then waits for the requests that
// run, and closes what is left.
func (h *Host) shutDown() {
	h.log.WithField("grace_ms", h.options.ShutdownGrace.Milliseconds()).Info("host leaves")
	h.loop.Leave()
	started := time.Now()
	<-time.After(drainDelay)
	ctx, cancel := context.WithDeadline(context.Background(), started.Add(h.options.ShutdownGrace-exitMargin))
	defer cancel()
	if err := h.callers.Shutdown(ctx); err != nil {
		h.log.WithError(err).Warn("requests were still running at the end of the grace")
	}
}

// closeAll closes all listeners and connections.
func (h *Host) closeAll() {
	for _, server := range append([]*http.Server{h.callers}, h.others...) {
		if err := server.Close(); err != nil {
			h.log.WithError(err).Warn("listener could not be closed")
		}
	}
}
