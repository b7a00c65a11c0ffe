package edgehost

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	jsonlog "github.com/apex/log/handlers/json"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/boottime"
	"siskintide.example/siskintide/internal/callerlimit"
	"siskintide.example/siskintide/internal/decide/callerbudget"
	"siskintide.example/siskintide/internal/decide/shutdown"
	"siskintide.example/siskintide/internal/edgecontrol"
	"siskintide.example/siskintide/internal/eventlog"
	"siskintide.example/siskintide/internal/gateway"
	"siskintide.example/siskintide/internal/telemetry"
)

const (
	// drainDelay is the time for which a leaving host still accepts connections. The load
	// balancer checks once a second and removes a host after two failed checks.
	drainDelay = 2500 * time.Millisecond
	// exitMargin is the time before the end of the grace period at which all connections are closed.
	exitMargin = 400 * time.Millisecond
	// closeDelay is the time for the last responses to reach their callers before that.
	closeDelay = 100 * time.Millisecond
	// logFlushTimeout bounds the time to flush the log at exit.
	logFlushTimeout = 200 * time.Millisecond
)

// Host is one running host process.
type Host struct {
	options         Options
	log             *log.Logger
	sink            *eventlog.Sink
	metrics         *telemetry.Registry
	loop            *edgecontrol.Loop
	limiters        map[callerbudget.Listener]*callerlimit.Limiter // not changed once the host has started
	gateway         *gateway.Gateway
	linker          *linker
	callers         *http.Server
	internalServers []*http.Server
	running         sync.WaitGroup
	stopping        context.Context // ends when all requests that are still served get their responses
	endRequests     context.CancelFunc
}

// Run serves until the context ends, then shuts down gracefully. It returns an error when
// a listener could not be opened.
func Run(ctx context.Context, options Options) error {
	h := newHost(options)
	runCtx, cancel := context.WithCancel(context.Background())
	logCtx, stopLog := context.WithCancel(context.Background())
	logDone := make(chan struct{})
	go func() {
		defer close(logDone)
		h.sink.Run(logCtx, options.Output)
	}()
	err := h.start(runCtx)
	if err == nil {
		h.log.WithField("callers", options.CallersAddress).WithField("data_centre", options.Self.DataCentre).Info("host started")
		<-ctx.Done()
		h.shutDown()
	}
	h.closeAll()
	cancel()
	h.running.Wait()
	h.log.Info("host stopped")
	stopLog()
	select {
	case <-logDone:
	case <-time.After(logFlushTimeout):
	}
	return err
}

func newHost(options Options) *Host {
	h := &Host{options: options, sink: eventlog.NewSink(clockwork.NewRealClock()), metrics: telemetry.NewRegistry()}
	h.log = &log.Logger{Handler: jsonlog.New(h.sink), Level: log.InfoLevel}
	entry := h.log.WithField("host", options.Self.ID)
	h.stopping, h.endRequests = context.WithCancel(context.Background())
	h.limiters = h.newLimiters()
	h.linker = &linker{self: options.Self, log: entry, limiter: h.limiters[callerbudget.Peers]}
	h.loop = edgecontrol.NewLoop(edgecontrol.Options{
		Self:         options.Self,
		RetryBudget:  options.RetryBudget,
		Clock:        boottime.Now,
		Log:          entry,
		Metrics:      telemetry.NewPlacementMetrics(h.metrics.Scope),
		Send:         h.linker.Send,
		SetPeers:     h.linker.SetPeers,
		MaxConfigAge: options.MaxConfigAge,
		Rollout:      h.rollout(),
		PaceMetrics:  telemetry.NewPaceMetrics(h.metrics.Scope),
	})
	h.gateway = gateway.New(gateway.Options{
		Controller:   h.loop,
		Codec:        options.Codec,
		Mover:        options.Mover,
		Reporter:     options.Reporter,
		Metrics:      telemetry.NewRequestMetrics(h.metrics.Scope),
		Log:          entry,
		Clock:        boottime.Now,
		MaxConfigAge: options.MaxConfigAge,
		BodyMemory:   options.Resources.BodyMemory(),
		Memory:       h.limiters[callerbudget.Callers],
		Stopping:     h.stopping,
	})
	h.callers = &http.Server{Handler: h.gateway}
	return h
}

// rollout returns the options of rollouts for the control goroutine, or nil if they are not in force.
func (h *Host) rollout() *edgecontrol.RolloutOptions {
	options := h.options.Rollout
	if options == nil {
		return nil
	}
	return &edgecontrol.RolloutOptions{
		Bounds:  options.Bounds,
		Metrics: telemetry.NewRolloutMetrics(h.metrics.Scope),
		Write: func(write edgecontrol.RolloutWrite) {
			h.running.Go(func() { h.loop.HandleRolloutWritten(write, options.Write(h.stopping, write)) })
		},
	}
}

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

// ready responds 200 while the host takes new callers: the registry has been read, the
// configuration is fresh, and the host is not leaving.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	view := h.loop.View()
	switch {
	case view.Leaving():
		http.Error(w, "leaving", http.StatusServiceUnavailable)
	case view.VersionsUnknown || !view.RegistryLoaded || !view.ConfigFresh(boottime.Now(), h.options.MaxConfigAge):
		http.Error(w, "configuration or registry is not known to be recent", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

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

// closeAll closes all listeners and connections.
func (h *Host) closeAll() {
	h.endRequests()
	for _, server := range append([]*http.Server{h.callers}, h.internalServers...) {
		if err := server.Close(); err != nil {
			h.log.WithError(err).Warn("listener could not be closed")
		}
	}
}
