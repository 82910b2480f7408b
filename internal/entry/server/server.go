// Package server assembles the daemon that runs on an entry VM and serves its HTTP
// API to callers and operators.
package server

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/metrics"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/openai"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/service"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/api"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
)

const (
	idleTimeout  = 2 * time.Minute
	writeTimeout = 30 * time.Second
)

// Server is the entry daemon.
type Server struct {
	cfg         Config
	log         *log.Logger
	incarnation uint64
	started     time.Time
	metrics     *metrics.Metrics
	configLog   configLog
	store       *config.Store
	fleet       *fleet.Fleet
	placer      *placement.Placer
	openai      *openai.Handler
	orders      *orders
	engines     *engineOrders
	orphans     *orphan.Collector
	service     *service.Handler
	api         *api.Handler
	http        *fasthttp.Server
	ln          net.Listener
	link        *link.Link
	peerHTTP    *http.Server
	peerLn      net.Listener
	peers       *peers
	leaving     atomic.Bool
	refusing    atomic.Bool
	inFlight    atomic.Int64 // requests in progress
}

// New validates the settings, opens the listeners and starts the components. Serve
// must be called to accept requests.
func New(cfg Config, logger *log.Logger) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	ln, err := cfg.Network.Listen(cfg.Listen)
	if err != nil {
		return nil, fail("start", KindListen, fmt.Errorf("--listen %s: %w", cfg.Listen, err))
	}
	peerLn, err := cfg.Network.Listen(cfg.PeerListen)
	if err != nil {
		_ = ln.Close() // no connection was accepted yet
		return nil, fail("start", KindListen, fmt.Errorf("--peer-listen %s: %w", cfg.PeerListen, err))
	}
	s := &Server{
		cfg:         cfg,
		link:        link.New(cfg.Network, cfg.VM, cfg.PeerKey),
		peerLn:      peerLn,
		log:         logger.WithPrefix("entry"),
		incarnation: uint64(time.Now().UnixNano()),
		started:     time.Now(),
		metrics:     metrics.New(cfg.VM),
		ln:          ln,
	}
	s.startParts(logger)
	s.peerHTTP = s.link.Server()
	go func() { _ = s.peerHTTP.Serve(s.peerLn) }() // returns when the server is closed
	s.http = &fasthttp.Server{
		Handler:               s.route,
		Name:                  "dogwoodmill",
		MaxRequestBodySize:    cfg.MaxBodyBytes,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		ErrorHandler:          badRequest,
		Logger:                discardLogger{},
		CloseOnShutdown:       true,
		ReduceMemoryUsage:     true,
		KeepHijackedConns:     true, // a streamed response closes its connection itself
	}
	return s, nil
}

func (s *Server) startParts(logger *log.Logger) {
	owner := engine.Owner{VM: s.cfg.VM, Incarnation: s.incarnation}
	s.startConfig(logger)
	s.startPeers(logger)
	s.useConfigPeers()
	s.startPrompts(owner, logger)
	s.startStreams(owner, logger)
	s.startOrders(logger)
	s.startEngineOrders(logger)
	s.service = service.NewHandler(s.cfg.Network, s.store.View,
		service.Orders{Run: s.orders.executor.Run, Look: s.orders.executor.Look}, s.metrics.Scope(), logger)
	s.api = api.NewHandler(s.store, api.Seams{Authorized: s.authorized, InForce: s.peers.InForce}, logger)
}

// Addr returns the listen address for callers and operators.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// PeerAddr returns the listen address for other entries.
func (s *Server) PeerAddr() string { return s.peerLn.Addr().String() }

// Serve accepts requests until Shutdown.
func (s *Server) Serve() error {
	s.log.Info("Serving.", "vm", s.cfg.VM, "address", s.Addr(), "domain", s.cfg.FailureDomain)
	return s.http.Serve(s.ln)
}

func (s *Server) stop() {
	s.api.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		s.log.Warn("Failed to close all caller connections in time.", "err", err)
	}
	s.peers.stop()
	if err := s.peerHTTP.Close(); err != nil {
		s.log.Warn("Failed to close the peer server.", "err", err)
	}
	s.stopStreams()
	s.fleet.Close()
	s.stopEngineOrders()
	s.stopOrders()
	s.stopConfig()
	if err := s.metrics.Close(); err != nil {
		s.log.Warn("Failed to close the metrics.", "err", err)
	}
}

func (s *Server) authorized(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.cfg.OperatorToken)) == 1
}

// route dispatches a request by its path. Process paths are served even while
// new requests are rejected.
func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if h := s.processHandler(path); h != nil {
		h(ctx)
		return
	}
	if s.refusing.Load() {
		ctx.SetConnectionClose()
		reply.Overloaded("leaving", "This entry is leaving; another one serves.", time.Second).Write(ctx)
		return
	}
	if s.leaving.Load() {
		ctx.SetConnectionClose() // the caller's next request goes to another entry
	}
	release := s.trackRequest()
	defer release()
	switch {
	case path == "/v1/chat/completions":
		requireMethod(ctx, fasthttp.MethodPost, s.openai.Chat)
	case path == "/v1/completions":
		requireMethod(ctx, fasthttp.MethodPost, s.openai.Completions)
	case path == "/v1/models":
		requireMethod(ctx, fasthttp.MethodGet, s.openai.Models)
	case strings.HasPrefix(path, service.OrdersPrefix):
		requireMethod(ctx, fasthttp.MethodGet, s.service.ServeOrder)
	case strings.HasPrefix(path, openai.ResponsesPrefix):
		s.openai.Responses(ctx)
	case strings.HasPrefix(path, service.Prefix):
		s.service.Serve(ctx)
	case strings.HasPrefix(path, api.Prefix):
		s.api.Serve(ctx)
	default:
		reply.NotFound("unknown_url", "There is nothing at "+string(ctx.Method())+" "+path+".").Write(ctx)
	}
}

// requireMethod calls serve if the request has the given method and answers 405 otherwise.
func requireMethod(ctx *fasthttp.RequestCtx, method string, serve fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		reply.MethodNotAllowed(ctx, method)
		return
	}
	serve(ctx)
}

// trackRequest counts a request or its streamed response body as in progress until the
// returned function is called.
func (s *Server) trackRequest() func() {
	s.inFlight.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// badRequest answers a request that fasthttp could not parse.
func badRequest(ctx *fasthttp.RequestCtx, err error) {
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		(&reply.Error{
			Status: fasthttp.StatusRequestEntityTooLarge, Type: "invalid_request_error", Code: "body_too_large",
			Message: "The request's body is longer than this entry takes.", Ran: reply.RanNo,
		}).Write(ctx)
	case errors.As(err, &small):
		reply.InvalidRequest("", "The request's headers are too long.").Write(ctx)
	default:
		reply.InvalidRequest("", "The request is not valid HTTP.").Write(ctx)
	}
}

// discardLogger discards fasthttp's own log lines, which identify callers.
type discardLogger struct{}

// Printf implements fasthttp.Logger.
func (discardLogger) Printf(string, ...any) {}
