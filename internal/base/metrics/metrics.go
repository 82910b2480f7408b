// Package metrics provides the tally scope of an entry and its Prometheus page.
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

// reportInterval is how often the scope passes its values to the reporter.
const reportInterval = time.Second

// Metrics holds the metrics of an entry.
type Metrics struct {
	scope  tally.Scope
	closer io.Closer
	page   fasthttp.RequestHandler
}

// New returns the metrics of the entry on a VM.
func New(vm string) *Metrics {
	registry := prometheus.NewRegistry() // not the default registry: a process may run two entries
	r := promreporter.NewReporter(promreporter.Options{Registerer: registry, Gatherer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "dogwoodmill",
		Tags:                   map[string]string{"vm": vm},
		CachedReporter:         r,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, reportInterval)
	return &Metrics{scope: scope, closer: closer, page: fasthttpadaptor.NewFastHTTPHandler(r.HTTPHandler())}
}

// Scope returns the root scope.
func (m *Metrics) Scope() tally.Scope { return m.scope }

// Page serves all metrics in the Prometheus text format.
func (m *Metrics) Page(ctx *fasthttp.RequestCtx) { m.page(ctx) }

// Close passes the last values to the reporter and stops reporting.
func (m *Metrics) Close() error { return m.closer.Close() }
