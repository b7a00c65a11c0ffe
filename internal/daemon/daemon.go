package daemon

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"

	"siskintide.example/siskintide/internal/callerapi"
	"siskintide.example/siskintide/internal/claims"
	"siskintide.example/siskintide/internal/control"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/operator"
	"siskintide.example/siskintide/internal/ownerstore"
	"siskintide.example/siskintide/internal/peer"
	"siskintide.example/siskintide/internal/platform"
	"siskintide.example/siskintide/internal/relay"
	"siskintide.example/siskintide/internal/service"
	"siskintide.example/siskintide/internal/settings"
	"siskintide.example/siskintide/internal/telemetry"
)

// Daemon is one running host.
type Daemon struct {
	settings *settings.Settings
	sockets  *listeners
	log      log.Interface
	metrics  *telemetry.Registry
	loop     *control.Loop
	effects  *effects
	claims   *claims.Executor
	callers  *http.Server
	peers    *http.Server
	admin    *http.Server
	running  sync.WaitGroup
}

// Run serves until the context ends, then shuts down gracefully. It returns an error if the
// host could not start, or a *GraceError if requests were still running at the end of the
// grace period.
func Run(ctx context.Context, s *settings.Settings) error {
	sockets, err := listen(ctx, s.Listen)
	if err != nil {
		return fmt.Errorf("start host %s: %w", s.Host, err)
	}
	return runOn(ctx, s, sockets)
}

// runOn serves on open sockets until the context ends.
func runOn(ctx context.Context, s *settings.Settings, sockets *listeners) error {
	d := newDaemon(s, sockets)
	runCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d.start(runCtx)
	<-ctx.Done()
	err := d.shutDown()
	cancel()
	d.stop()
	return err
}

// newDaemon builds all parts without starting them.
func newDaemon(s *settings.Settings, sockets *listeners) *Daemon {
	d := &Daemon{settings: s, sockets: sockets, metrics: telemetry.NewRegistry()}
	d.log = newLogger(s)
	session := core.SessionID(uuid.NewString())
	d.loop = control.NewLoop(control.Options{
		Self:       s.Self(),
		Session:    session,
		Settings:   controlSettings(s),
		Timing:     ownershipTiming(s),
		Clock:      clockwork.NewRealClock(),
		Log:        d.log,
		JitterSeed: jitterSeed(session),
		SeedHosts:  s.Seeds,
	})
	d.effects = d.newEffects(session)
	d.claims = claims.New(claims.Options{Table: d.effects.platform, Controller: d.loop, Clock: clockwork.NewRealClock()})
	d.callers = callerapi.NewServer(d.callersHandler())
	d.peers = internalServer(d.effects.node.Handler())
	d.admin = internalServer(d.adminHandler())
	return d
}

func (d *Daemon) newEffects(session core.SessionID) *effects {
	client := platform.NewClient(d.settings.PlatformAddress, time.Duration(d.settings.Timing.PlatformCall)).SetCaller(d.settings.Host)
	engineHTTP, serviceHTTP := &http.Client{Transport: relay.NewTransport()}, &http.Client{Transport: service.NewTransport()}
	e := &effects{
		self:        d.settings.Host,
		dataCentre:  d.settings.DataCentre,
		loop:        d.loop,
		platform:    client,
		ownerStore:  ownerstore.New(client, d.settings.DataCentre),
		engineHTTP:  engineHTTP,
		serviceHTTP: serviceHTTP,
		engines:     engine.NewClient(engineHTTP),
		services:    service.NewClient(serviceHTTP),
		log:         d.log,
	}
	e.node = peer.New(peer.Options{
		Self:        d.settings.Self(),
		Session:     session,
		Key:         []byte(d.settings.PeerKey),
		Receive:     e.receive,
		LinkChanged: d.loop.HandleLink,
		Log:         d.log,
	})
	return e
}

func (d *Daemon) callersHandler() http.Handler {
	return callerapi.New(callerapi.Options{
		Controller: d.loop,
		Engines:    relay.EngineClient{Client: d.effects.engines},
		Services:   d.effects.services,
		Claims:     d.claims,
		EventKey:   []byte(d.settings.EventKey),
		Clock:      clockwork.NewRealClock(),
		Log:        d.log,
		Metrics:    telemetry.NewRequestMetrics(d.metrics.Scope),
	})
}

func (d *Daemon) adminHandler() http.Handler {
	checks := health{controller: d.loop}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", checks.live)
	mux.HandleFunc("GET /readyz", checks.ready)
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.Handle("/operator/", operator.New(operator.Options{
		Key:         d.settings.OperatorKey,
		State:       operatorState{controller: d.loop},
		Store:       d.effects.platform,
		OfferConfig: d.loop.OfferConfig,
		Log:         d.log,
		Clock:       clockwork.NewRealClock(),
	}))
	return mux
}
