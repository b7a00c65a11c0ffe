package daemon

import (
	"context"
	"time"
)

// controlMetricsPeriod is the interval at which the control metrics are updated.
const controlMetricsPeriod = time.Second

// reportControlMetrics updates the metrics of control traffic and state until the context ends.
func (d *Daemon) reportControlMetrics(ctx context.Context) {
	ticker := time.NewTicker(controlMetricsPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			d.updateControlMetrics()
		}
	}
}

func (d *Daemon) updateControlMetrics() {
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
