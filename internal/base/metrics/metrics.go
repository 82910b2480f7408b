// Package metrics gives a process its tally scope and the page that shows it.
package metrics

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

// interval is how often the scope hands its values to the reporter.
const interval = time.Second

// Metrics are the metrics of an entry.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	page   fasthttp.RequestHandler
}

// New returns the metrics of the entry on a VM.
func New(vm string) *Metrics {
	reg := prometheus.NewRegistry() // of its own: a process may run two entries
	r := promreporter.NewReporter(promreporter.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "dogwoodmill",
		Tags:                   map[string]string{"vm": vm},
		CachedReporter:         r,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, interval)
	return &Metrics{scope: scope, closer: closer, page: fasthttpadaptor.NewFastHTTPHandler(r.HTTPHandler())}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Page answers with all metrics in Prometheus' text format.
func (m *Metrics) Page(ctx *fasthttp.RequestCtx) { m.page(ctx) }

// Close hands the last values to the reporter.
func (m *Metrics) Close() error { return m.closer.Close() }
