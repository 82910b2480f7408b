package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/follow"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/passes"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

// Paths beside the platform's question whether the entry takes callers.
const (
	statePath   = "/debug/state"
	metricsPath = "/metrics"
)

// gaugesEvery is how often the gauges follow what they show, which is as often as
// metrics are handed on.
const gaugesEvery = time.Second

var (
	// firstEvents are the bounds of the histogram of first events, about the users' objectives.
	firstEvents = tally.DurationBuckets{
		100 * time.Millisecond, 200 * time.Millisecond, 300 * time.Millisecond, 600 * time.Millisecond,
		1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 15 * time.Second,
	}
	// pauses are the bounds of the histogram of a stream's longest pause, about those allowed.
	pauses = tally.DurationBuckets{
		50 * time.Millisecond, 100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
		800 * time.Millisecond, 1500 * time.Millisecond, 3 * time.Second,
	}
	// waits are the bounds of the histogram of waits for engines.
	waits = tally.DurationBuckets{
		time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 300 * time.Millisecond,
		time.Second, 3 * time.Second, 6 * time.Second,
	}
	// ratios are the bounds of the histogram of what came over the prediction.
	ratios = tally.ValueBuckets{0.5, 0.8, 1, 1.2, 1.5, 2, 4, 10}
)

// serveReady answers at the address that callers don't reach.
func (s *Server) serveReady(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case platform.ReadyPath:
		if s.leaving.Load() || !s.belief.Ready() {
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

// ServiceState is what an entry knows of the engines of a service.
type ServiceState struct {
	Waiting int                  `json:"waiting"`
	Counts  passes.Counts        `json:"counts"`
	Engines []passes.EngineState `json:"engines"`
}

// TopicState is how far an entry has read a topic.
type TopicState struct {
	Topic   string `json:"topic"`
	Offset  uint64 `json:"offset"`
	Healthy bool   `json:"healthy"` // the last call was answered
}

// State is the state dump. It holds no key, prompt or answer.
type State struct {
	VM            string                  `json:"vm"`
	FailureDomain string                  `json:"failureDomain"`
	Leaving       bool                    `json:"leaving"`
	Busy          int64                   `json:"busy"`
	Streams       int64                   `json:"streams"`
	Reservations  int64                   `json:"reservations"` // prompts for which memory is set aside
	Version       int64                   `json:"version"`      // of the configuration; 0 where none is known
	Upstreams     int                     `json:"upstreams"`
	Cut           []string                `json:"cut"`     // addresses that can't be connected to
	Entries       []string                `json:"entries"` // addresses of the other entries
	Leads         bool                    `json:"leads"`   // it reads the store for others, too
	ToldBytes     uint64                  `json:"toldBytes"`
	Topics        []TopicState            `json:"topics"`
	Services      map[string]ServiceState `json:"services"`
	RetriesLeft   map[string]float64      `json:"retriesLeft"` // by service
}

// State returns the state dump.
func (s *Server) State() State {
	st := State{
		VM: s.cfg.VM, FailureDomain: s.cfg.FailureDomain, Leaving: s.leaving.Load(), Busy: s.busy.Load(), Streams: s.streams.Load(), Reservations: s.holds.Load(),
		Cut: s.reach.Unreachable(), Entries: s.peers(), Leads: s.leads(), ToldBytes: s.exchange.Sent(),
	}
	if list := s.followers.Load(); list != nil {
		for _, f := range *list {
			offset, healthy := f.Offset()
			st.Topics = append(st.Topics, TopicState{Topic: f.Topic(), Offset: offset, Healthy: healthy})
		}
	}
	s.belief.fill(&st)
	return st
}

// fill adds what the entry believes.
func (b *belief) fill(st *State) {
	b.mu.Lock()
	defer b.mu.Unlock()
	st.Services, st.RetriesLeft = map[string]ServiceState{}, map[string]float64{}
	st.Upstreams = b.dir.Len()
	if b.table != nil {
		st.Version = b.table.Version()
		for name := range b.table.Services() {
			st.RetriesLeft[name] = b.budget.Left(name)
		}
	}
	b.listen()
	for name, p := range b.planners {
		st.Services[name] = ServiceState{Waiting: p.Waiting(), Counts: p.Counts(), Engines: p.Engines()}
	}
}

// count counts the end of a request.
func (c *call) count(outcome string) {
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

// countBegin notes how long a prompt waited for its engines and how its first event
// compares with the prediction.
func (l *leg) countBegin() {
	scope, t := l.c.s.metrics.Scope(), l.ticket
	scope.Histogram("wait", waits).RecordDuration(t.PlacedAt().Sub(l.c.arrived))
	if p := t.Predicted(); p > 0 {
		scope.Histogram("first_event_over_prediction", ratios).RecordValue(time.Since(t.PlacedAt()).Seconds() / p.Seconds())
	}
}

// countCalls counts a topic's calls to the store by their outcome.
func (s *Server) countCalls(seams follow.Seams) follow.Seams {
	count := func(topic string, err error) {
		outcome := "answered"
		if err != nil && !fault.Is(err, platform.KindTrimmed) {
			outcome = "failed"
		}
		s.metrics.Scope().Tagged(map[string]string{"topic": topic, "outcome": outcome}).Counter("store_calls").Inc(1)
	}
	newest, read := seams.Newest, seams.Read
	seams.Newest = func(ctx context.Context, topic string) ([]platform.Keyed, uint64, error) {
		records, next, err := newest(ctx, topic)
		count(topic, err)
		return records, next, err
	}
	seams.Read = func(ctx context.Context, topic string, from uint64, wait time.Duration) ([]platform.Keyed, uint64, error) {
		records, next, err := read(ctx, topic, from, wait)
		count(topic, err)
		return records, next, err
	}
	return seams
}

// gauges shows what the entry believes until the context ends.
func (s *Server) gauges(ctx context.Context) {
	defer s.parts.Done()
	scope := s.metrics.Scope()
	for pause.For(ctx, gaugesEvery) {
		scope.Gauge("streams").Update(float64(s.streams.Load()))
		scope.Gauge("plain_requests").Update(float64(s.busy.Load()))
		scope.Gauge("reservations").Update(float64(s.holds.Load()))
		scope.Gauge("entries_known").Update(float64(len(s.peers())))
		scope.Gauge("upstreams_cut").Update(float64(len(s.reach.Unreachable())))
		scope.Gauge("told_bytes").Update(float64(s.exchange.Sent()))
		scope.Gauge("log_lines_dropped").Update(float64(s.dropped()))
		for _, f := range *s.followers.Load() {
			offset, healthy := f.Offset()
			topic := scope.Tagged(map[string]string{"topic": f.Topic()})
			topic.Gauge("store_offset").Update(float64(offset))
			topic.Gauge("store_answers").Update(flag(healthy))
		}
		s.belief.gauges(scope)
	}
}

// gauges shows the configuration, the upstreams, the queues and the retry budget.
func (b *belief) gauges(scope tally.Scope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	scope.Gauge("upstreams").Update(float64(b.dir.Len()))
	if b.table == nil {
		return
	}
	scope.Gauge("configuration_version").Update(float64(b.table.Version()))
	for name := range b.table.Services() {
		service := scope.Tagged(map[string]string{"service": name})
		service.Gauge("retries_left").Update(b.budget.Left(name))
		if p := b.planners[name]; p != nil {
			service.Gauge("waiting").Update(float64(p.Waiting()))
		}
	}
}

func flag(v bool) float64 {
	if v {
		return 1
	}
	return 0
}
