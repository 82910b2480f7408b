package server

import (
	"io"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/uber-go/tally/v4"
	promreporter "github.com/uber-go/tally/v4/prometheus"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"
)

const metricsInterval = time.Second

// metrics is the entry's root scope and its Prometheus page.
type metrics struct {
	scope  tally.Scope
	closer io.Closer
	page   fasthttp.RequestHandler
}

func newMetrics(vm string) *metrics {
	reg := prometheus.NewRegistry() // of its own: a process may run two entries
	r := promreporter.NewReporter(promreporter.Options{Registerer: reg, Gatherer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:                 "dogwoodmill",
		Tags:                   map[string]string{"vm": vm},
		CachedReporter:         r,
		Separator:              promreporter.DefaultSeparator,
		SanitizeOptions:        &promreporter.DefaultSanitizerOpts,
		OmitCardinalityMetrics: true,
	}, metricsInterval)
	return &metrics{scope: scope, closer: closer, page: fasthttpadaptor.NewFastHTTPHandler(r.HTTPHandler())}
}
