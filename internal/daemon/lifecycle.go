package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// drainDelay is the time for which a leaving host still accepts connections, so that the
// platform's load balancer can detect that the host is not ready. New requests are refused
// as not run.
const drainDelay = 3 * time.Second

// start starts all parts. They run until the context ends.
func (d *Daemon) start(ctx context.Context) {
	d.effects.ctx = ctx
	d.run(func() { d.loop.Run(ctx, d.effects) })
	d.run(func() { _ = d.effects.node.Run(ctx) })
	d.run(func() { d.effects.syncHostList(ctx, d.settings.Self()) })
	d.run(func() { d.claims.Run(ctx) })
	d.run(func() { d.reportControlMetrics(ctx) })
	d.serve(d.callers, d.sockets.callers)
	d.serve(d.peers, d.sockets.peers)
	d.serve(d.admin, d.sockets.admin)
	d.log.WithField("callers", d.settings.Listen.Callers).Info("host started")
}

func (d *Daemon) run(work func()) {
	d.running.Add(1)
	go func() {
		defer d.running.Done()
		work()
	}()
}

func (d *Daemon) serve(server *http.Server, listener net.Listener) {
	d.run(func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			d.log.WithError(err).Error("listener failed")
		}
	})
}

// shutDown refuses new callers, hands owned targets over and waits for running requests,
// at most for the grace period.
func (d *Daemon) shutDown() error {
	d.log.Info("host leaving")
	d.loop.Leave()
	drained := time.NewTimer(drainDelay)
	defer drained.Stop()
	<-drained.C
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(d.settings.Timing.ShutdownGrace))
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		return &GraceError{Grace: time.Duration(d.settings.Timing.ShutdownGrace)}
	}
	return nil
}

// stop stops the parts that do not end with the context and waits for every goroutine.
func (d *Daemon) stop() {
	_ = d.callers.Close()
	_ = d.admin.Close()
	_ = d.peers.Close()
	d.running.Wait()
	d.effects.running.Wait()
	d.effects.platform.Close()
	d.effects.engineHTTP.CloseIdleConnections()
	d.effects.serviceHTTP.CloseIdleConnections()
	_ = d.metrics.Close()
	d.log.Info("host stopped")
}
