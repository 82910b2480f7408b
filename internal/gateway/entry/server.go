// Package entry is the daemon on the users' platform: it joins the platform's
// configuration, upstreams and callers with the decisions about prompts.
package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/valyala/fasthttp"

	"github.com/dogwoodmill/dogwoodmill/internal/base/metrics"
	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/follow"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/records"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/sends"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/reach"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// dialLimit bounds a connection to an upstream: a failure domain is a few
	// milliseconds away, and a queue that is full answers nothing.
	dialLimit = 150 * time.Millisecond
	// configWait is how long a read waits for a change of the configuration. A
	// connection that went silent is noticed within it.
	configWait = 2200 * time.Millisecond
	// serversPause gathers what upstreams tell of themselves: calls are priced, and a
	// leaving upstream is told 2 seconds before it may get no more work.
	serversPause = 600 * time.Millisecond
	serversWait  = 2 * time.Second
	entriesWait  = 10 * time.Second
	// answersWithin is the time within which a store that is there answers one read or other:
	// the shortest wait, and some for a store that is slow.
	answersWithin = serversWait + 600*time.Millisecond
	// maxTold is the number of entries up to which all are told of sends at each
	// change: messages grow with its square.
	maxTold = 64
	// leaders is how many entries read the store with long waits; the others read what
	// those tell of. Calls are priced, and one of four reaches the store nearly always.
	leaders = 4
	// maxBody is the longest body that is read at all, in bytes; the configuration
	// has a lower limit.
	maxBody = 8 << 20
	// maxHead is the longest head, in bytes.
	maxHead = 32 << 10
	// headLimit bounds the time of a request's bytes, idleLimit that between requests.
	headLimit = 30 * time.Second
	idleLimit = 120 * time.Second
	// acceptFor is how long a leaving entry takes all requests: until callers are sent
	// elsewhere, which takes two questions in a row a second apart. Afterwards it takes
	// those that will be over before it stops.
	acceptFor = 3 * time.Second
	// stopBefore is kept before the end of the grace.
	stopBefore = 200 * time.Millisecond
	drainPoll  = 20 * time.Millisecond
	// flushTime is for the last bytes of answers that are over for the entry.
	flushTime = 80 * time.Millisecond
	// registerRetry is the wait after an entry could not tell the store where it is.
	registerRetry = time.Second
)

// Server is the daemon.
type Server struct {
	cfg       platform.Settings
	log       *log.Logger
	belief    *belief
	store     *platform.Store
	upstreams *netio.Network
	engines   *platform.Engines
	reach     *reach.Prober
	metrics   *metrics.Metrics
	records   *records.Server
	exchange  *sends.Exchange
	followers atomic.Pointer[[]*follow.Follower] // in the order in which entries tell of topics
	callers   *fasthttp.Server
	ready     *fasthttp.Server
	callersLn *callers
	readyLn   net.Listener
	stop      context.CancelFunc
	parts     sync.WaitGroup
	busy      atomic.Int64 // requests in progress, streams apart
	streams   atomic.Int64 // streams in progress
	holds     atomic.Int64 // prompts for which memory is set aside
	dropped   func() int64 // log lines since the start
	started   time.Time
	shut      sync.Once
	leaving   atomic.Bool
	refusing  atomic.Bool // what would not be over in time
	stopping  atomic.Bool // it refuses everything
	end       time.Time   // when a leaving entry stops; set before refusing

	mu      sync.Mutex
	entries map[string]platform.Entry // by VM
	domains map[string]string         // of entries, by address
}

// New listens and starts the parts. Serve runs the daemon. The seam tells how many log
// lines were dropped since the start.
func New(cfg platform.Settings, network *netio.Network, logger *log.Logger, dropped func() int64) (*Server, error) {
	return newServer(cfg, network, serversPause, logger, dropped)
}

func newServer(cfg platform.Settings, network *netio.Network, pause time.Duration, logger *log.Logger, dropped func() int64) (*Server, error) {
	s := &Server{
		cfg: cfg, log: logger, belief: newBelief(cfg.FailureDomain, cfg.Retries, logger),
		store: platform.NewStore(network, cfg.Store), upstreams: network.WithDialTimeout(dialLimit),
		dropped: dropped, started: time.Now(), metrics: metrics.New(cfg.VM), entries: map[string]platform.Entry{},
	}
	s.engines = platform.NewEngines(s.upstreams)
	s.reach = reach.New(reach.Settings{
		Network: s.upstreams, Siblings: s.belief.Siblings, Changed: s.belief.ReachChanged, Log: logger.WithPrefix("reach"),
	})
	s.belief.cut, s.belief.ask = s.reach.Cut, s.askPace
	own := net.JoinHostPort(cfg.IP, strconv.Itoa(cfg.PeerPort))
	conn, err := net.ListenPacket("udp", own)
	if err != nil {
		return nil, fail("start", KindListen, fmt.Errorf("port for other entries, %s: %w", own, err))
	}
	peerLn, err := network.Listen(own)
	if err != nil {
		return nil, errors.Join(fail("start", KindListen, fmt.Errorf("port for other entries, %s: %w", own, err)), conn.Close())
	}
	ln, err := network.Listen(cfg.Callers)
	if err != nil {
		return nil, errors.Join(fail("start", KindListen, fmt.Errorf("address for callers, %s: %w", cfg.Callers, err)), conn.Close(), peerLn.Close())
	}
	s.callersLn = newCallers(ln)
	if s.readyLn, err = network.Listen(cfg.Ready); err != nil {
		return nil, errors.Join(fail("start", KindListen, fmt.Errorf("address for readiness, %s: %w", cfg.Ready, err)), conn.Close(), peerLn.Close(), s.callersLn.Close())
	}
	s.records = records.Serve(peerLn, logger.WithPrefix("records"), s.newest)
	s.exchange = sends.New(conn, time.Now(), sends.Seams{
		Own: s.belief.Own, Tell: s.belief.Tell, Peers: s.peers, Offsets: s.offsets, Hint: s.hint,
		Log: logger.WithPrefix("sends"),
	})
	s.belief.changed = s.exchange.Changed
	s.belief.entries, s.belief.domainOf = s.known, s.domainOf
	s.follow(pause)
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.parts.Add(2)
	go s.register(ctx, own)
	go s.gauges(ctx)
	s.callers = &fasthttp.Server{
		Handler: s.handle, ReadTimeout: headLimit, IdleTimeout: idleLimit,
		ReadBufferSize: maxHead, MaxRequestBodySize: maxBody, DisablePreParseMultipartForm: true,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, Logger: quiet{logger},
	}
	s.ready = &fasthttp.Server{Handler: s.serveReady, NoDefaultServerHeader: true, Logger: quiet{logger}}
	logger.Info("Started.", "domain", cfg.FailureDomain, "callers", cfg.Callers, "store", cfg.Store)
	return s, nil
}

func (s *Server) follow(pause time.Duration) {
	logger := s.log.WithPrefix("store")
	seams := s.countCalls(follow.Seams{Newest: s.store.Newest, Read: s.store.Read, Leads: s.leads, Ask: s.ask})
	config, servers, entries := seams, seams, seams
	config.Apply, entries.Apply = s.applyConfig, s.applyEntries
	servers.Apply, servers.Reached = s.belief.ApplyServers, s.belief.StoreReached
	list := []*follow.Follower{
		follow.New(follow.Settings{Topic: platform.ConfigTopic, Wait: configWait}, config, logger),
		follow.New(follow.Settings{Topic: platform.ServersTopic, Wait: serversWait, Pause: pause}, servers, logger),
		follow.New(follow.Settings{Topic: platform.EntriesTopic, Wait: entriesWait, Pause: pause}, entries, logger),
	}
	s.followers.Store(&list)
}

// ask asks another entry for a topic's records.
func (s *Server) ask(ctx context.Context, entry, topic string) ([]platform.Keyed, uint64, error) {
	return records.Ask(ctx, s.upstreams, entry, topic)
}

// newest returns a topic's records for other entries that ask.
func (s *Server) newest(topic string) ([]platform.Keyed, uint64, bool) {
	list := s.followers.Load()
	if list == nil {
		return nil, 0, false
	}
	for _, f := range *list {
		if f.Topic() == topic {
			all, offset := f.Newest()
			return all, offset, true
		}
	}
	return nil, 0, false
}

// leads reports whether this entry is one of the few that read the store with long
// waits and tell the others how far they are.
func (s *Server) leads() bool { return s.exchange.Rank() < leaders }

// offsets returns how far this entry has read each topic, where it leads and the
// store answers.
func (s *Server) offsets() []uint64 {
	list := s.followers.Load()
	if list == nil || !s.leads() {
		return nil
	}
	var (
		out      []uint64
		answered time.Time
	)
	for _, f := range *list {
		offset, healthy := f.Offset()
		if !healthy {
			return nil
		}
		out = append(out, offset)
		if at := f.Answered(); at.After(answered) {
			answered = at
		}
	}
	if time.Since(answered) > answersWithin {
		return nil
	}
	return out
}

// hint takes in how far another entry has read.
func (s *Server) hint(entry string, offsets []uint64) {
	list := s.followers.Load()
	if list == nil || len(offsets) != len(*list) {
		return
	}
	for i, f := range *list {
		f.Hint(entry, offsets[i])
	}
}

func (s *Server) applyConfig(records []platform.Keyed, _ bool) {
	for _, r := range records {
		if r.Key != platform.ConfigKey || r.Value == nil {
			continue
		}
		t, err := platform.DecodeConfig(r.Value)
		if err != nil {
			s.log.Error("A configuration can't be read.", "offset", r.Offset, "err", err)
			continue
		}
		s.belief.SetTable(t)
	}
}

func (s *Server) applyEntries(records []platform.Keyed, whole bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if whole {
		clear(s.entries)
	}
	defer s.keepDomains()
	for _, r := range records {
		if r.Value == nil {
			delete(s.entries, r.Key)
			continue
		}
		e, err := platform.DecodeEntry(r.Value)
		if err != nil {
			s.log.Warn("An entry's record can't be read.", "vm", r.Key, "err", err)
			continue
		}
		s.entries[r.Key] = e
	}
}

// keepDomains keeps the entries' failure domains by address: each message asks for one. The
// lock is held.
func (s *Server) keepDomains() {
	s.domains = make(map[string]string, len(s.entries))
	for _, e := range s.entries {
		s.domains[e.Address] = e.Domain
	}
}

// peers returns the addresses of the entries that this one tells of its sends: all
// others, or where they are many, those of the own failure domain, whose engines it
// looks at first.
func (s *Server) peers() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	many := len(s.entries) > maxTold
	var out []string
	for vm, e := range s.entries {
		if vm != s.cfg.VM && (!many || e.Domain == s.cfg.FailureDomain) {
			out = append(out, e.Address)
		}
	}
	return out
}

// known returns how many entries there are, this one included.
func (s *Server) known() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, len(s.entries))
}

// domainOf returns the failure domain of the entry at an address, or "".
func (s *Server) domainOf(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domains[address]
}

// register tells the other entries through the store where this one is, once.
func (s *Server) register(ctx context.Context, own string) {
	defer s.parts.Done()
	for ctx.Err() == nil {
		err := s.store.Put(ctx, platform.EntriesTopic, s.cfg.VM, platform.EncodeEntry(platform.Entry{Address: own, Domain: s.cfg.FailureDomain}))
		if err == nil {
			s.log.Info("Registered with the store.", "address", own)
			return
		}
		s.log.Warn("The entry could not register with the store.", "err", err)
		pause.For(ctx, registerRetry)
	}
}

// Serve serves until Shutdown or an error.
func (s *Server) Serve() error {
	failed := make(chan error, 2)
	go func() { failed <- s.ready.Serve(s.readyLn) }()
	go func() { failed <- s.callers.Serve(s.callersLn) }()
	return <-failed
}

// Shutdown leaves: it takes requests until callers are sent elsewhere, finishes
// what runs, and stops before the grace is over. Only the first call does anything.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	s.shut.Do(func() { err = s.shutdown(ctx) })
	return err
}

func (s *Server) shutdown(ctx context.Context) error {
	s.end = time.Now().Add(s.cfg.Grace - stopBefore)
	s.leaving.Store(true)
	s.exchange.Leave()
	s.log.Info("Leaving.", "busy", s.busy.Load(), "streams", s.streams.Load())
	pause.For(ctx, acceptFor)
	s.refusing.Store(true)
	s.log.Info("Connections without a request are closed.", "connections", s.callersLn.closeIdle())
	s.drain(ctx)
	s.stopping.Store(true)
	pause.For(ctx, flushTime)
	s.drain(ctx) // what was taken before it refused everything
	s.log.Info("Stopped.", "cut", s.busy.Load()+s.streams.Load())
	s.stop()
	for _, f := range *s.followers.Load() {
		f.Close()
	}
	s.exchange.Close()
	s.records.Close()
	s.reach.Close()
	s.parts.Wait()
	return errors.Join(s.callersLn.Close(), s.readyLn.Close(), s.metrics.Close())
}

// drain waits until nothing is in progress, or the entry has to stop.
func (s *Server) drain(ctx context.Context) {
	for s.busy.Load()+s.streams.Load() > 0 && time.Now().Before(s.end) && ctx.Err() == nil {
		pause.For(ctx, drainPoll)
	}
}

// quiet takes the HTTP library's lines.
type quiet struct{ log *log.Logger }

// Printf logs a line of the library: callers that break off are nothing to warn of.
func (q quiet) Printf(format string, args ...any) {
	q.log.Debug("The HTTP library reports.", "text", fmt.Sprintf(format, args...))
}
