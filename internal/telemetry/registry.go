package telemetry

import (
	"io"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	tallyprom "github.com/uber-go/tally/v4/prometheus"
)

// reportInterval is the interval at which tally reports to the Prometheus registry.
const reportInterval = time.Second

// Registry holds the metrics of a process.
type Registry struct {
	Scope    tally.Scope
	reporter tallyprom.Reporter
	closer   io.Closer
}

// NewRegistry returns a registry that is independent of the global Prometheus registry.
func NewRegistry() *Registry {
	registerer := prometheus.NewRegistry()
	reporter := tallyprom.NewReporter(tallyprom.Options{Registerer: registerer, Gatherer: registerer})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "siskintide",
		CachedReporter:         reporter,
		Separator:              tallyprom.DefaultSeparator,
		SanitizeOptions:        &tallyprom.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Registry{Scope: scope, reporter: reporter, closer: closer}
}

// Handler serves the metrics in the Prometheus text format.
func (r *Registry) Handler() http.Handler { return r.reporter.HTTPHandler() }

// Close flushes and stops the registry.
func (r *Registry) Close() error { return r.closer.Close() }
