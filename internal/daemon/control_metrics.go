package daemon

import (
	"context"
	"time"
)

// controlMetricsPeriod is the time between two readings of the control counters.
const controlMetricsPeriod = time.Second

// reportControl records what this host's control traffic and state amount to.
func (d *Daemon) reportControl(ctx context.Context) {
	ticker := time.NewTicker(controlMetricsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.recordControl()
		}
	}
}

func (d *Daemon) recordControl() {
	counters := d.effects.node.Counters()
	scope := d.metrics.Scope
	scope.Gauge("peer_sent_bytes").Update(float64(counters.BytesOut))
	scope.Gauge("peer_received_bytes").Update(float64(counters.BytesIn))
	scope.Gauge("peer_sent_messages").Update(float64(counters.MessagesOut))
	scope.Gauge("peer_received_messages").Update(float64(counters.MessagesIn))
	view := d.loop.Snapshot()
	scope.Gauge("owned_targets").Update(float64(len(view.Owned)))
	if view.Catalog != nil {
		scope.Gauge("config_revision").Update(float64(view.Catalog.Config.Revision))
	}
}
