// Package server is the daemon on an entry VM: it puts the parts together and
// serves callers and operators.
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

// Server is an entry.
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
	busy        atomic.Int64 // requests in progress
}

// New checks the settings, listens and starts the parts. Serve runs the entry.
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
		_ = ln.Close() // nothing was served on it
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
	go func() { _ = s.peerHTTP.Serve(s.peerLn) }() // ends when the server is closed
	s.http = &fasthttp.Server{
		Handler:               s.route,
		Name:                  "dogwoodmill",
		MaxRequestBodySize:    cfg.MaxBodyBytes,
		IdleTimeout:           idleTimeout,
		WriteTimeout:          writeTimeout,
		NoDefaultServerHeader: true,
		ErrorHandler:          badRequest,
		Logger:                quiet{},
		CloseOnShutdown:       true,
		ReduceMemoryUsage:     true,
		KeepHijackedConns:     true, // a streamed answer closes its connection itself
	}
	return s, nil
}

func (s *Server) startParts(logger *log.Logger) {
	owner := engine.Owner{VM: s.cfg.VM, Incarnation: s.incarnation}
	s.startConfig(logger)
	s.startPeers(logger)
	s.joinConfig()
	s.startPrompts(owner, logger)
	s.startStreams(owner, logger)
	s.startOrders(logger)
	s.startEngineOrders(logger)
	s.service = service.NewHandler(s.cfg.Network, s.store.View,
		service.Orders{Run: s.orders.executor.Run, Look: s.orders.executor.Look}, s.metrics.Scope(), logger)
	s.api = api.NewHandler(s.store, api.Seams{Authorized: s.authorized, InForce: s.peers.InForce}, logger)
}

// Addr returns the address that the entry listens on.
func (s *Server) Addr() string { return s.ln.Addr().String() }

// PeerAddr returns the address for other entries.
func (s *Server) PeerAddr() string { return s.peerLn.Addr().String() }

// Serve serves until Shutdown.
func (s *Server) Serve() error {
	s.log.Info("Serving.", "vm", s.cfg.VM, "address", s.Addr(), "domain", s.cfg.FailureDomain)
	return s.http.Serve(s.ln)
}

func (s *Server) stop() {
	s.api.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := s.http.ShutdownWithContext(ctx); err != nil {
		s.log.Warn("Connections were open at the end.", "err", err)
	}
	s.peers.stop()
	if err := s.peerHTTP.Close(); err != nil {
		s.log.Warn("Peer connections were open at the end.", "err", err)
	}
	s.stopStreams()
	s.fleet.Close()
	s.stopEngineOrders()
	s.stopOrders()
	s.stopConfig()
	if err := s.metrics.Close(); err != nil {
		s.log.Warn("Metrics could not be closed.", "err", err)
	}
}

func (s *Server) authorized(token string) bool {
	return subtle.ConstantTimeCompare([]byte(token), []byte(s.cfg.OperatorToken)) == 1
}

// route finds the handler of a request.
func (s *Server) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if h := s.process(path); h != nil {
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
	release := s.hold()
	defer release()
	switch {
	case path == "/v1/chat/completions":
		only(ctx, fasthttp.MethodPost, s.openai.Chat)
	case path == "/v1/completions":
		only(ctx, fasthttp.MethodPost, s.openai.Completions)
	case path == "/v1/models":
		only(ctx, fasthttp.MethodGet, s.openai.Models)
	case strings.HasPrefix(path, service.OrdersPrefix):
		only(ctx, fasthttp.MethodGet, s.service.ServeOrder)
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

// only serves a path that has one method.
func only(ctx *fasthttp.RequestCtx, method string, serve fasthttp.RequestHandler) {
	if string(ctx.Method()) != method {
		reply.MethodNotAllowed(ctx, method)
		return
	}
	serve(ctx)
}

// hold counts a request, or the streamed body of one, as in progress until the
// function that it returns is called.
func (s *Server) hold() func() {
	s.busy.Add(1)
	return func() { s.busy.Add(-1) }
}

// badRequest answers a request that could not be read.
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

// quiet drops fasthttp's own log lines, which name callers.
type quiet struct{}

// Printf drops the line.
func (quiet) Printf(string, ...any) {}
