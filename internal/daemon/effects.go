package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"

	"siskintide.example/siskintide/internal/control"
	"siskintide.example/siskintide/internal/core"
	"siskintide.example/siskintide/internal/engine"
	"siskintide.example/siskintide/internal/message"
	"siskintide.example/siskintide/internal/ownerstore"
	"siskintide.example/siskintide/internal/peer"
	"siskintide.example/siskintide/internal/platform"
	"siskintide.example/siskintide/internal/service"
)

// callTimeout bounds each effect that runs on its own goroutine, and each update of the host
// list.
const callTimeout = 2 * time.Second

var _ control.Effects = (*effects)(nil)

// effects carries out the side effects that the control loop requests. Each effect that
// takes time runs on its own goroutine; the loop bounds how many of each kind are in flight.
type effects struct {
	ctx         context.Context
	self        core.HostID
	dataCentre  core.DataCentreID
	loop        *control.Loop
	node        *peer.Node
	platform    *platform.Client
	ownerStore  *ownerstore.Store
	engineHTTP  *http.Client // connections to engines
	serviceHTTP *http.Client // connections to services
	engines     *engine.Client
	services    *service.Client
	log         log.Interface
	running     sync.WaitGroup
}

// start runs one effect on its own goroutine.
func (e *effects) start(work func(ctx context.Context)) {
	e.running.Add(1)
	go func() {
		defer e.running.Done()
		ctx, cancel := context.WithTimeout(e.ctx, callTimeout)
		defer cancel()
		work(ctx)
	}()
}

// Send implements control.Effects.
func (e *effects) Send(to core.HostID, m message.Message) bool { return e.node.Send(to, m) }

// SetPeers implements control.Effects.
func (e *effects) SetPeers(hosts []core.Host) { e.node.SetPeers(hosts) }

// Poll implements control.Effects.
func (e *effects) Poll(target core.Target, last core.LoadReport) {
	e.start(func(ctx context.Context) {
		report, err := e.load(ctx, target, last)
		if err != nil {
			e.log.WithError(err).WithField("target", target.ID).Debug("load poll failed")
			e.loop.HandleLoadFailed(target.ID)
			return
		}
		e.loop.HandleLoad(report)
	})
}

func (e *effects) load(ctx context.Context, target core.Target, last core.LoadReport) (core.LoadReport, error) {
	if target.Service != "" {
		return e.services.Probe(ctx, target.ID, target.Address, last)
	}
	return e.engines.LoadReport(ctx, target.ID, target.Address)
}

// Cancel implements control.Effects.
func (e *effects) Cancel(address string, generation core.GenerationID) {
	e.start(func(ctx context.Context) {
		if err := e.engines.Cancel(ctx, address, generation); err != nil {
			e.log.WithError(err).WithField("generation", generation).Debug("cancellation failed")
		}
	})
}
