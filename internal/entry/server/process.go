package server

import (
	"time"

	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/caller/openai"
	"github.com/dogwoodmill/dogwoodmill/internal/caller/reply"
	"github.com/dogwoodmill/dogwoodmill/internal/operator/config"
	"github.com/dogwoodmill/dogwoodmill/internal/order/executor"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/limits"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/placement"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/orphan"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/rollout"
)

// State is the state dump of an entry, served at /debug/state.
type State struct {
	VM            string              `json:"vm"`
	FailureDomain string              `json:"failureDomain"`
	Incarnation   uint64              `json:"incarnation"`
	UptimeMS      int64               `json:"uptimeMs"`
	Leaving       bool                `json:"leaving"`
	Busy          int64               `json:"busy"` // requests in progress
	Config        config.State        `json:"config"`
	ConfigLog     ConfigLogState      `json:"configLog"`
	Placement     placement.State     `json:"placement"`
	Engines       []fleet.EngineState `json:"engines"`
	Peers         peersState          `json:"peers"`
	Limits        limits.State        `json:"limits"`
	Streams       openai.State        `json:"streams"`
	Orphans       orphan.State        `json:"orphans"`
	Orders        executor.State      `json:"orders"`
	Rollout       rollout.State       `json:"rollout"`
}

// State returns the entry's current state.
func (s *Server) State() State {
	return State{
		VM:            s.cfg.VM,
		FailureDomain: s.cfg.FailureDomain,
		Incarnation:   s.incarnation,
		UptimeMS:      time.Since(s.started).Milliseconds(),
		Leaving:       s.leaving.Load(),
		Busy:          s.inFlight.Load(),
		Config:        s.store.State(),
		ConfigLog:     s.configLog.state(),
		Placement:     s.placer.State(),
		Engines:       s.fleet.State(),
		Peers:         s.peers.state(),
		Limits:        s.peers.limiter.State(),
		Streams:       s.openai.State(),
		Orders:        s.orders.executor.State(),
		Rollout:       s.engines.driver.State(),
		Orphans:       s.orphans.State(),
	}
}

// processHandler returns the handler of a health, metrics or state path, or nil.
func (s *Server) processHandler(path string) fasthttp.RequestHandler {
	switch path {
	case "/healthz":
		return func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") }
	case "/readyz":
		return s.serveReady
	case "/metrics":
		return s.metrics.Page
	case "/debug/state":
		return s.serveState
	default:
		return nil
	}
}

func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	switch {
	case s.leaving.Load():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("leaving\n")
	case !s.store.Ready():
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		ctx.SetBodyString("no configuration read yet\n")
	default:
		ctx.SetBodyString("ready\n")
	}
}

func (s *Server) serveState(ctx *fasthttp.RequestCtx) {
	if !s.authorized(reply.Bearer(ctx)) {
		reply.Unauthorized().Write(ctx)
		return
	}
	reply.JSON(ctx, fasthttp.StatusOK, s.State())
}
