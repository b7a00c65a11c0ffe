package daemon

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// drainDelay is how long a leaving host still answers new callers, with a refusal that
// says "not run", while the platform's balancer learns that it is not ready.
const drainDelay = 3 * time.Second

// start runs all parts until the life ends.
func (d *Daemon) start(life context.Context) {
	d.effects.ctx = life
	d.run(func() { d.loop.Run(life, d.effects) })
	d.run(func() { _ = d.effects.node.Run(life) })
	d.run(func() { d.effects.followHosts(life, d.settings.Self()) })
	d.run(func() { d.claims.Run(life) })
	d.run(func() { d.reportControl(life) })
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
			d.log.WithError(err).Error("listener ended")
		}
	})
}

// shutDown takes no new callers, hands owned targets over and waits until all running
// requests have ended, for the grace at most.
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

// finish stops what runCtx's end has not stopped and waits for every goroutine.
func (d *Daemon) finish() {
	_ = d.callers.Close()
	_ = d.admin.Close()
	_ = d.peers.Close()
	d.running.Wait()
	d.effects.running.Wait()
	d.effects.platform.Close()
	d.effects.streams.CloseIdleConnections()
	d.effects.targets.CloseIdleConnections()
	_ = d.metrics.Close()
	d.log.Info("host stopped")
}
