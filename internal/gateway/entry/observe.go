package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/evacuation"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/follow"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/intake"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/httpconn"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/plain"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/warmup"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// Paths served beside the platform's readiness check.
const (
	statePath   = "/debug/state"
	metricsPath = "/metrics"
)

// gaugeInterval is how often the gauges are updated, which is as often as metrics are reported.
const gaugeInterval = time.Second

var (
	// firstEventBuckets surround the users' objectives for the first event.
	firstEventBuckets = tally.DurationBuckets{
		100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
		1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second,
	}
	// pauseBuckets surround the allowed pauses of streams.
	pauseBuckets = tally.DurationBuckets{
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
		800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	}
	// waitBuckets are for the time that prompts wait for engines.
	waitBuckets = tally.DurationBuckets{
		time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
		time.Second, 3 * time.Second, 6 * time.Second,
	}
	// ratioBuckets are for the first event's time divided by its prediction.
	ratioBuckets = tally.ValueBuckets{0.5, 0.8, 1, 1.2, 1.5, 2, 4, 10}
)

// serveReady serves readiness, metrics and state at an address that callers can't reach.
func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case platform.ReadyPath:
		if s.leaving.Load() || !s.sched.Ready() {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
	case metricsPath:
		s.metrics.Page(ctx)
	case statePath:
		b, err := json.MarshalIndent(s.State(), "", "  ")
		if err != nil {
			ctx.Error("can't encode the state", fasthttp.StatusInternalServerError)
			return
		}
		ctx.SetContentType("application/json")
		ctx.SetBody(b)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// ServiceState is the state of a service's queue and engines as the entry knows it.
type ServiceState struct {
	Waiting int                  `json:"waiting"`
	Counts  passes.Counts        `json:"counts"`
	Engines []passes.EngineState `json:"engines"`
}

// TopicState is how far an entry has read a topic.
type TopicState struct {
	platform.Position

	Topic     string            `json:"topic"`
	Healthy   bool              `json:"healthy"` // the last call was answered
	Hint      platform.Position `json:"hint"`    // the highest one that another entry has read up to
	HintEntry string            `json:"hintEntry,omitempty"`
}

// State is the state dump. It contains no keys, prompts or answers.
type State struct {
	VM            string             `json:"vm"`
	FailureDomain string             `json:"failureDomain"`
	Leaving       bool               `json:"leaving"`
	Busy          int64              `json:"busy"`
	Streams       int64              `json:"streams"`
	Reservations  int64              `json:"reservations"` // prompts with a memory lease
	Version       int64              `json:"version"`      // of the configuration; 0 if there is none
	Upstreams     int                `json:"upstreams"`
	Evacuated     []evacuation.State `json:"evacuated"` // failure domains
	Unreachable   []string           `json:"cut"`       // addresses that can't be connected to
	Detours       []string           `json:"detours"`   // addresses that are reached through other entries
	Tunnels       int                `json:"tunnels"`   // connections that other entries have through this one
	Entries       []string           `json:"entries"`   // addresses of the other entries
	// Held are the segments on which engines crash, in hexadecimal.
	Held      string `json:"heldSegments"`
	Leads     bool   `json:"leads"` // whether it reads the store on behalf of others
	ToldBytes uint64 `json:"toldBytes"`
	// ToldDomainBytes are those of ToldBytes that went to other failure domains.
	ToldDomainBytes uint64                     `json:"toldDomainBytes"`
	Topics          []TopicState               `json:"topics"`
	Limits          map[string]float64         `json:"limits"` // requests a second that upstreams take from all entries
	Cold            map[string]warmup.Upstream `json:"cold"`   // cold upstreams
	Services        map[string]ServiceState    `json:"services"`
	// PlainServers are the servers of each plain service with what is known of their speed.
	PlainServers map[string][]plain.ServerState `json:"plainServers"`
	RetriesLeft  map[string]float64             `json:"retriesLeft"` // by service
	Intake       intake.State                   `json:"requestBodies"`
}

// State returns the state dump.
func (s *Server) State() State {
	told := s.exchange.Sent()
	st := State{
		VM: s.cfg.VM, FailureDomain: s.cfg.FailureDomain, Leaving: s.leaving.Load(), Busy: s.inFlight.Load(), Streams: s.streams.Load(), Reservations: s.leases.Load(),
		Unreachable: s.reach.Unreachable(), Detours: s.reach.Detours(), Tunnels: s.tunnels.Open(), Leads: s.readsStore(), Held: s.quarantine.HeldSegments().String(), ToldBytes: told.Bytes, ToldDomainBytes: told.DomainBytes,
	}
	for _, p := range s.peers() {
		st.Entries = append(st.Entries, p.Address)
	}
	if list := s.followers.Load(); list != nil {
		for _, f := range *list {
			next, healthy := f.Position()
			hint, entry := f.Hinted()
			st.Topics = append(st.Topics, TopicState{Topic: f.Topic(), Position: next, Healthy: healthy, Hint: hint, HintEntry: entry})
		}
	}
	st.Limits = s.sched.throttle.Limits()
	st.Cold = s.sched.warmup.State()
	st.Intake = s.intake.State()
	s.sched.fill(&st)
	return st
}

// fill adds the state of the scheduler.
func (s *scheduler) fill(st *State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Services, st.RetriesLeft = map[string]ServiceState{}, map[string]float64{}
	st.Upstreams, st.Evacuated = s.dir.Len(), s.evacuations.State()
	if s.table != nil {
		st.Version = s.table.Version()
		for name := range s.table.Services() {
			st.RetriesLeft[name] = s.budget.Left(name)
		}
	}
	s.applyReports()
	st.PlainServers = map[string][]plain.ServerState{}
	for name, p := range s.pools {
		st.PlainServers[name] = p.States()
	}
	for name, p := range s.planners {
		st.Services[name] = ServiceState{Waiting: p.Waiting(), Counts: p.Counts(), Engines: p.Engines()}
	}
}

// countOutcome counts a finished request.
func (c *call) countOutcome(outcome string) {
	kind := "plain"
	if c.route.Stream {
		kind = "stream"
	}
	scope := c.s.metrics.Scope().Tagged(map[string]string{"kind": kind, "outcome": outcome})
	scope.Counter("requests").Inc(1)
	if c.sends > 1 {
		scope.Counter("sent_again").Inc(int64(c.sends - 1))
	}
}

// countTooLarge counts an answer that was given up because of its size.
func (c *call) countTooLarge(err error) {
	if fault.Is(err, httpconn.KindTooLarge) || fault.Is(err, KindTooLarge) || errors.Is(err, bufio.ErrBufferFull) {
		c.s.metrics.Scope().Counter("answers_too_large").Inc(1)
	}
}

// recordFirstEvent records how long the prompt waited for its engines, and the ratio of its
// first event's time to the prediction.
func (es *engineStream) recordFirstEvent() {
	scope, t := es.c.s.metrics.Scope(), es.ticket
	scope.Histogram("wait", waitBuckets).RecordDuration(t.PlacedAt().Sub(es.c.arrived))
	if p := t.Predicted(); p > 0 {
		scope.Histogram("first_event_over_prediction", ratioBuckets).RecordValue(time.Since(t.PlacedAt()).Seconds() / p.Seconds())
	}
}

// countStoreCalls wraps the calls to the store to count them by topic and outcome.
func (s *Server) countStoreCalls(seams follow.Seams) follow.Seams {
	count := func(topic string, err error) {
		outcome := "answered"
		if err != nil && !fault.Is(err, platform.KindTrimmed) {
			outcome = "failed"
		}
		s.metrics.Scope().Tagged(map[string]string{"topic": topic, "outcome": outcome}).Counter("store_calls").Inc(1)
	}
	newest, read := seams.Newest, seams.Read
	seams.Newest = func(ctx context.Context, topic string) ([]platform.Keyed, platform.Position, error) {
		records, next, err := newest(ctx, topic)
		count(topic, err)
		return records, next, err
	}
	seams.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) ([]platform.Keyed, platform.Position, error) {
		records, next, err := read(ctx, topic, from, wait)
		count(topic, err)
		return records, next, err
	}
	return seams
}

// runGauges updates the gauges until ctx ends.
func (s *Server) runGauges(ctx context.Context) {
	defer s.tasks.Done()
	scope := s.metrics.Scope()
	for pause.For(ctx, gaugeInterval) {
		scope.Gauge("streams").Update(float64(s.streams.Load()))
		scope.Gauge("plain_requests").Update(float64(s.inFlight.Load()))
		scope.Gauge("reservations").Update(float64(s.leases.Load()))
		scope.Gauge("entries_known").Update(float64(len(s.peers())))
		scope.Gauge("upstreams_cut").Update(float64(len(s.reach.Unreachable())))
		scope.Gauge("upstreams_detoured").Update(float64(len(s.reach.Detours())))
		scope.Gauge("tunnels").Update(float64(s.tunnels.Open()))
		scope.Gauge("tunnels_opened").Update(float64(s.tunnels.Opened()))
		scope.Gauge("segments_held").Update(float64(len(s.quarantine.HeldSegments())))
		scope.Gauge("upstreams_limited").Update(float64(len(s.sched.throttle.Limits())))
		scope.Gauge("upstreams_cold").Update(float64(len(s.sched.warmup.State())))
		told := s.exchange.Sent()
		scope.Gauge("buffered_answer_bytes").Update(float64(s.bodies.used.Load()))
		scope.Gauge("caller_connections").Update(float64(s.callersLn.open()))
		scope.Gauge("connections_closed_idle").Update(float64(s.callersLn.closedIdle.Load()))
		scope.Gauge("connections_turned_away").Update(float64(s.callersLn.turnedAway.Load()))
		scope.Gauge("accepts_failed").Update(float64(s.callersLn.acceptsFailed.Load()))
		in := s.intake.State()
		scope.Gauge("request_body_bytes").Update(float64(in.Used))
		scope.Gauge("request_bodies_unfinished").Update(float64(in.Unfinished))
		scope.Gauge("request_memory_short").Update(boolGauge(in.Short))
		scope.Gauge("told_bytes").Update(float64(told.Bytes))
		scope.Gauge("told_domain_bytes").Update(float64(told.DomainBytes))
		scope.Gauge("log_lines_dropped").Update(float64(s.droppedLines()))
		for _, f := range *s.followers.Load() {
			next, healthy := f.Position()
			topic := scope.Tagged(map[string]string{"topic": f.Topic()})
			topic.Gauge("store_offset").Update(float64(next.Offset))
			topic.Gauge("store_epoch").Update(float64(next.Epoch))
			topic.Gauge("store_answers").Update(boolGauge(healthy))
		}
		s.sched.updateGauges(scope)
	}
}

// updateGauges updates the gauges of the configuration, the upstreams, the queues and the retry
// budget.
func (s *scheduler) updateGauges(scope tally.Scope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	scope.Gauge("upstreams").Update(float64(s.dir.Len()))
	scope.Gauge("domains_evacuated").Update(float64(s.evacuations.Len()))
	if s.table == nil {
		return
	}
	scope.Gauge("configuration_version").Update(float64(s.table.Version()))
	for name := range s.table.Services() {
		service := scope.Tagged(map[string]string{"service": name})
		service.Gauge("retries_left").Update(s.budget.Left(name))
		if p := s.planners[name]; p != nil {
			service.Gauge("waiting").Update(float64(p.Waiting()))
		}
		if p := s.pools[name]; p != nil {
			limit, slow := p.Limits()
			service.Gauge("learned_limit").Update(limit)
			service.Gauge("slow_servers").Update(float64(slow))
		}
	}
}

func boolGauge(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
