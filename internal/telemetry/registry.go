package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportPeriod is the time between two reports of counters to the exposition.
const reportPeriod = time.Second

// Registry is the root of a process's metrics.
type Registry struct {
	Scope    tally.Scope
	reporter tallyprom.Reporter
	closer   io.Closer
}

// NewRegistry returns a registry of its own, independent of any global one.
func NewRegistry() *Registry {
	registerer := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registerer, Gatherer: registerer})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "siskintide",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportPeriod)
	return &Registry{Scope: scope, reporter: reporter, closer: closer}
}

// Handler serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close flushes and stops the registry.
func (r *Registry) Close() error { return r.closer.Close() }
