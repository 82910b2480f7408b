// Package entry implements the entry VM: it takes callers' requests, places them on upstreams,
// and relays the answers, following the platform's configuration.
package entry

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"math/rand/v2"
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
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/intake"
	"github.com/dogwoodmill/dogwoodmill/internal/gateway/route"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/records"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/sends"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/tunnel"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/quarantine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/reach"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/throttle"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/warmup"
	"github.com/dogwoodmill/dogwoodmill/platform"
)

const (
	// dialTimeout limits connecting to an upstream. Failure domains are a few milliseconds apart,
	// and a full accept queue does not answer at all.
	dialTimeout = 150 * time.Millisecond
	// storeWait is how long a read waits for a change of the configuration or of upstreams. Only the
	// missing answer shows that its connection is silent: with the repeat of the read and the report to
	// the entries that don't read for others it has to be below the shortest stability window, 3 s.
	storeWait = 1400 * time.Millisecond
	// serversPause batches changes of upstreams, because calls to the store are priced. A leaving
	// upstream announces it 2 seconds before it must get no more work.
	serversPause = 600 * time.Millisecond
	entriesWait  = 10 * time.Second
	// storeAnswerTimeout is the time within which a working store answers a read of some topic: the
	// shortest wait, and a margin for the repeat of a read on a new connection to a slow store.
	storeAnswerTimeout = storeWait + 1200*time.Millisecond
	// pollAnnounceTime is how long an entry that does not read for others announces what its poll
	// read. Others put off their polls meanwhile, so it is two messages long.
	pollAnnounceTime = 600 * time.Millisecond
	// storeReaders is how many entries read the store with long waits; the others read when those
	// announce new offsets. Calls are priced, and one of four entries nearly always reaches the
	// store.
	storeReaders = 4
	// maxHeadBytes is the size limit of a request head.
	maxHeadBytes = 32 << 10
	// readTimeout limits the time to read a request, idleTimeout the time between requests. The
	// configuration sets limits of its own.
	readTimeout = 30 * time.Second
	idleTimeout = 120 * time.Second
	// acceptWhileLeaving is how long a leaving entry accepts all requests. Callers are sent to it
	// until two readiness checks in a row, a second apart, have failed. After that it accepts only
	// requests that finish before it stops.
	acceptWhileLeaving = 3 * time.Second
	// stopMargin is reserved before the end of the grace period.
	stopMargin        = 200 * time.Millisecond
	drainPollInterval = 20 * time.Millisecond
	// flushWait lets the last bytes of finished answers leave the connections.
	flushWait         = 80 * time.Millisecond
	flushPollInterval = 5 * time.Millisecond
	// registerRetryDelay is the delay between attempts to register with the store.
	registerRetryDelay = time.Second
	// registerSpread is the mean time, for each entry, between the writes of those that register
	// again after a restore of the store: a quarter of what the store takes.
	registerSpread = 10 * time.Millisecond
	// lostEntryGrace is how long after a restore an entry that the copy doesn't list is still
	// known: it registers again in that time.
	lostEntryGrace = time.Minute
)

// Server is the entry's server.
type Server struct {
	cfg          platform.Settings
	log          *log.Logger
	sched        *scheduler
	store        *platform.Store
	direct       *netio.Network    // to upstreams and entries
	upstreams    *netio.Network    // to upstreams, through other entries if need be
	work         *netio.Network    // upstreams, for what is new; fails for evacuated ones
	workEngines  *platform.Engines // over work
	tunnels      *tunnel.Server
	engines      *platform.Engines
	reach        *reach.Prober
	metrics      *metrics.Metrics
	bodies       *bodyMemory    // of answers
	intake       *intake.Memory // of requests
	records      *records.Server
	exchange     *sends.Exchange
	followers    atomic.Pointer[[]*follow.Follower] // in the order of the positions in entries' messages
	callers      *fasthttp.Server
	ready        *fasthttp.Server
	callersLn    *callerListener
	readyLn      net.Listener
	quarantine   *quarantine.Tracker
	crashChecks  chan crashCheck
	ctx          context.Context // of the background tasks
	cancel       context.CancelFunc
	calls        context.Context // of the requests in progress
	endCalls     context.CancelFunc
	tasks        sync.WaitGroup
	inFlight     atomic.Int64 // requests in the handler; streams that outlive it count in streams
	streams      atomic.Int64 // streams in progress
	leases       atomic.Int64 // prompts with a memory lease
	droppedLines func() int64 // number of log lines dropped since the start
	started      time.Time
	shutdownOnce sync.Once
	leaving      atomic.Bool
	refusing     atomic.Bool // refuses requests that would not finish in time
	stopping     atomic.Bool // refuses all requests
	stopAt       time.Time   // when a leaving entry stops; set before refusing

	own  platform.Entry
	lost chan struct{} // the store lost this entry's registration

	mu         sync.Mutex
	entries    map[string]platform.Entry // by VM
	unreadable unreadable                // records of entries
	domains    map[string]string         // failure domains of entries by address
	unlisted   map[string]platform.Entry // registered before the store was restored, but not since
	listUntil  time.Time                 // when unlisted ones are forgotten
	restored   bool                      // the next records are the first after a restore
}

// New listens on all addresses and starts the background tasks; Serve accepts callers. dropped
// returns the number of log lines dropped since the start.
func New(cfg platform.Settings, network *netio.Network, logger *log.Logger, dropped func() int64) (*Server, error) {
	return newServer(cfg, network, serversPause, logger, dropped)
}

func newServer(cfg platform.Settings, network *netio.Network, pause time.Duration, logger *log.Logger, dropped func() int64) (*Server, error) {
	s := &Server{
		cfg: cfg, log: logger, sched: newScheduler(cfg.FailureDomain, cfg.Retries, logger),
		store: platform.NewStore(network, cfg.Store, logger.WithPrefix("store")), direct: network.WithDialTimeout(dialTimeout),
		droppedLines: dropped, started: time.Now(), metrics: metrics.New(cfg.VM), bodies: newBodyMemory(cfg.Memory), entries: map[string]platform.Entry{}, unlisted: map[string]platform.Entry{}, unreadable: unreadable{}, lost: make(chan struct{}, 1),
		crashChecks: make(chan crashCheck, maxCrashChecks),
	}
	s.newParts()
	conn, peerLn, err := s.listen(network)
	if err != nil {
		return nil, err
	}
	s.records = records.Serve(peerLn, logger.WithPrefix("records"), s.newest, s.servePeer)
	s.exchange = sends.New(conn, time.Now(), sends.Seams{
		Domain: cfg.FailureDomain, Report: s.sched.Report, OnReport: s.sched.SetReport, Peers: s.peers, Positions: s.positions, OnPositions: s.applyPositions,
		Held: s.quarantine.Report, OnHeld: s.quarantine.Merge, Rates: s.sched.throttle.Report, OnRates: s.sched.throttle.Merge, Loads: s.sched.Loads, OnLoads: s.sched.SetLoads, CutOff: s.reach.IsCutOff, Log: logger.WithPrefix("sends"),
	})
	s.sched.reportChanged = s.exchange.Changed
	s.sched.entryCount, s.sched.domainOf = s.entryCount, s.domainOf
	s.startFollowers(pause)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.calls, s.endCalls = context.WithCancel(context.Background())
	s.tasks.Add(3)
	go s.register(s.ctx)
	go s.runGauges(s.ctx)
	go s.crashLoop()
	s.newHTTPServers()
	logger.Info("Started.", "domain", cfg.FailureDomain, "callers", cfg.Callers, "store", cfg.Store)
	return s, nil
}

// newParts creates the parts that need no address of their own, and connects them.
func (s *Server) newParts() {
	s.intake = s.newIntake()
	s.reach = reach.New(reach.Settings{
		Network: s.direct, Detour: s.detour, Siblings: s.sched.Siblings, Services: s.sched.Services, Changed: s.sched.ReachabilityChanged, Reconnected: s.sched.Reconnected, Log: s.log.WithPrefix("reach"),
	})
	s.upstreams = netio.New(s.dialUpstream, nil) // nothing listens
	s.engines = platform.NewEngines(s.upstreams)
	s.work = netio.New(s.dialForWork, nil)
	s.workEngines = platform.NewEngines(s.work)
	s.tunnels = tunnel.NewServer(tunnel.Settings{Network: s.direct, Known: s.tunnelsTo, TakesWork: s.tunnelsWorkTo, Most: maxTunnels, Log: s.log.WithPrefix("tunnel")})
	s.sched.regions = s.cfg.Regions
	s.sched.unreachable, s.sched.queryPace = s.reach.IsUnreachable, s.queryPace
	s.quarantine = quarantine.New(quarantine.Settings{
		Now: time.Now, Rand: rand.Float64, Entries: s.entryCount, Changed: s.reportChanged, Log: s.log.WithPrefix("quarantine"),
	})
	s.sched.throttle = throttle.New(throttle.Settings{
		Now: time.Now, Members: s.members, Changed: s.reportChanged, Log: s.log.WithPrefix("throttle"),
	})
	s.sched.warmup = warmup.New(warmup.Settings{
		Self: s.cfg.VM, Overrun: s.cfg.Cold.Overrun, Slack: s.cfg.Cold.Slack, Now: time.Now, Log: s.log.WithPrefix("warmup"),
	})
	s.sched.requestGrant = s.requestGrant
}

// listen opens the addresses of the entry, and returns those for other entries: the one for datagrams and
// the one for connections.
func (s *Server) listen(network *netio.Network) (net.PacketConn, net.Listener, error) {
	own := net.JoinHostPort(s.cfg.IP, strconv.Itoa(s.cfg.PeerPort))
	s.own = platform.Entry{Address: own, Domain: s.cfg.FailureDomain}
	conn, err := net.ListenPacket("udp", own)
	if err != nil {
		return nil, nil, fail("start", KindListen, fmt.Errorf("port for other entries, %s: %w", own, err))
	}
	peerLn, err := network.Listen(own)
	if err != nil {
		return nil, nil, errors.Join(fail("start", KindListen, fmt.Errorf("port for other entries, %s: %w", own, err)), conn.Close())
	}
	ln, err := network.Listen(s.cfg.Callers)
	if err != nil {
		return nil, nil, errors.Join(fail("start", KindListen, fmt.Errorf("address for callers, %s: %w", s.cfg.Callers, err)), conn.Close(), peerLn.Close())
	}
	s.callersLn = newCallerListener(ln)
	s.callersLn.limits, s.callersLn.most = s.callerLimits, maxConnections(s.cfg.Descriptors)
	if s.readyLn, err = network.Listen(s.cfg.Ready); err != nil {
		return nil, nil, errors.Join(fail("start", KindListen, fmt.Errorf("address for readiness, %s: %w", s.cfg.Ready, err)), conn.Close(), peerLn.Close(), s.callersLn.Close())
	}
	return conn, peerLn, nil
}

// newHTTPServers creates the servers for callers, and for readiness, metrics and state.
func (s *Server) newHTTPServers() {
	s.callers = &fasthttp.Server{
		Handler: s.handle, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		ReadBufferSize: maxHeadBytes, DisablePreParseMultipartForm: true,
		StreamRequestBody: true, MaxRequestBodySize: prefetchBytes, HeaderReceived: s.headerReceived,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true, Logger: httpLogger{s.log},
	}
	s.ready = &fasthttp.Server{Handler: s.serveReady, NoDefaultServerHeader: true, Logger: httpLogger{s.log}}
}

func (s *Server) startFollowers(pause time.Duration) {
	logger := s.log.WithPrefix("store")
	seams := s.countStoreCalls(follow.Seams{Newest: s.store.Newest, Read: s.store.Read, Leads: s.readsStore, Entries: s.entryCount, Ask: s.askEntry, Silent: s.checkReads})
	config, servers, entries := seams, seams, seams
	config.Apply, config.Restored = s.applyConfig, s.sched.EvacuationsRestored
	entries.Apply, entries.Restored = s.applyEntries, s.entriesRestored
	servers.Outdated, servers.History = isOutdatedServer, s.store.History
	servers.Apply, servers.Restored = s.sched.ApplyServers, s.sched.ServersRestored
	servers.Reached, servers.Uninterrupted = s.sched.StoreReached, s.sched.StoreUninterrupted
	list := []*follow.Follower{
		follow.New(follow.Settings{Topic: platform.ConfigTopic, Wait: storeWait}, config, logger),
		follow.New(follow.Settings{Topic: platform.ServersTopic, Wait: storeWait, Pause: pause}, servers, logger),
		follow.New(follow.Settings{Topic: platform.EntriesTopic, Wait: entriesWait, Pause: pause}, entries, logger),
	}
	s.followers.Store(&list)
}

// checkReads makes all reads of the store again that wait for records.
func (s *Server) checkReads() {
	if list := s.followers.Load(); list != nil {
		for _, f := range *list {
			f.CheckRead()
		}
	}
}

// reportChanged makes the exchange tell the other entries of a change.
func (s *Server) reportChanged() { s.exchange.Changed() }

// members returns the entries that share the rates of upstreams.
func (s *Server) members() throttle.Members { return s.exchange.Members() }

// askEntry asks another entry for a topic's records.
func (s *Server) askEntry(ctx context.Context, entry, topic string) ([]platform.Keyed, platform.Position, error) {
	return records.Ask(ctx, s.direct, entry, topic)
}

// newest returns a topic's records and position for other entries, and whether the topic is known.
func (s *Server) newest(topic string) ([]platform.Keyed, platform.Position, bool) {
	list := s.followers.Load()
	if list == nil {
		return nil, platform.Position{}, false
	}
	for _, f := range *list {
		if f.Topic() == topic {
			all, next := f.Newest()
			return all, next, true
		}
	}
	return nil, platform.Position{}, false
}

// readsStore reports whether this entry is one of the few that read the store with long waits
// and announce their offsets to the others.
func (s *Server) readsStore() bool { return s.exchange.Rank() < storeReaders }

// positions returns this entry's position in each topic, or nil if the store has not answered it
// lately, and since when the store has answered its reads of the upstreams. Where it answers none of
// the entries that read for others, the first other one whose own read is answered announces it.
func (s *Server) positions() (out []platform.Position, served time.Time) {
	list := s.followers.Load()
	if list == nil {
		return nil, time.Time{}
	}
	var answered time.Time
	for _, f := range *list {
		next, healthy := f.Position()
		if !healthy {
			return nil, time.Time{}
		}
		if f.Topic() == platform.ServersTopic {
			served = f.ServedSince()
		}
		out = append(out, next)
		if at := f.Answered(); at.After(answered) {
			answered = at
		}
	}
	limit := storeAnswerTimeout
	if !s.readsStore() {
		limit = pollAnnounceTime
	}
	if time.Since(answered) > limit {
		return nil, time.Time{}
	}
	return out, served
}

// applyPositions applies the positions that another entry announced, and since when the store has
// answered it.
func (s *Server) applyPositions(entry string, read []platform.Position, served time.Time) {
	list := s.followers.Load()
	if list == nil || len(read) != len(*list) {
		return
	}
	for i, f := range *list {
		f.Hint(entry, read[i])
		if f.Topic() == platform.ServersTopic {
			f.ServedElsewhere(served)
		}
	}
}

func (s *Server) applyConfig(records []platform.Keyed, snapshot bool) {
	s.sched.ApplyEvacuations(decodeEvacuations(records), snapshot) // before a configuration with which requests are placed
	for _, r := range records {
		if r.Key != platform.ConfigKey || r.Value == nil {
			continue
		}
		t, err := platform.DecodeConfig(r.Value)
		if err != nil {
			s.log.Error("Cannot decode a configuration.", "offset", r.Offset, "err", err)
			continue
		}
		s.sched.SetTable(t)
		s.callersLn.applyLimits()
	}
}

func (s *Server) applyEntries(records []platform.Keyed, snapshot bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.entries
	if snapshot {
		s.entries = make(map[string]platform.Entry, len(records))
		s.unreadable.keep(records)
	}
	defer s.indexDomains()
	for _, r := range records {
		delete(s.unlisted, r.Key)
		if r.Value == nil {
			delete(s.entries, r.Key)
			delete(s.unreadable, r.Key)
			continue
		}
		e, err := platform.DecodeEntry(r.Value)
		if err != nil {
			if s.unreadable.note(r) {
				s.log.Warn("Cannot decode the record of an entry.", "vm", r.Key, "offset", r.Offset, "err", err)
			}
			continue
		}
		delete(s.unreadable, r.Key)
		s.entries[r.Key] = e
	}
	if s.restored {
		s.restored = false
		s.keepUnlisted(before)
	}
	var list []string
	for vm := range s.known() {
		list = append(list, vm)
	}
	s.sched.warmup.SetEntries(list)
}

// entriesRestored records that the next records are those of a store that was restored.
func (s *Server) entriesRestored(uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = true
}

// keepUnlisted keeps the entries that registered before the store was restored and are not in its
// copy, since they run on, and has this one register again if it is such an entry. s.mu must be held.
func (s *Server) keepUnlisted(before map[string]platform.Entry) {
	for vm, e := range before {
		if _, listed := s.entries[vm]; !listed {
			s.unlisted[vm] = e
		}
	}
	s.listUntil = time.Now().Add(lostEntryGrace)
	s.log.Info("The store was restored; entries that it lost are kept for a while.", "entries", len(s.unlisted), "for", lostEntryGrace)
	if own, ok := s.entries[s.cfg.VM]; ok && own == s.own {
		return
	}
	select {
	case s.lost <- struct{}{}:
	default: // it is about to register
	}
}

// known returns the entries that are registered, or were when the store was restored and may do
// so again. s.mu must be held.
func (s *Server) known() iter.Seq2[string, platform.Entry] {
	return func(yield func(string, platform.Entry) bool) {
		for vm, e := range s.entries {
			if !yield(vm, e) {
				return
			}
		}
		if time.Now().After(s.listUntil) {
			clear(s.unlisted)
		}
		for vm, e := range s.unlisted {
			if !yield(vm, e) {
				return
			}
		}
	}
}

// indexDomains rebuilds the index of failure domains, since each message from an entry looks one
// up. s.mu must be held.
func (s *Server) indexDomains() {
	s.domains = make(map[string]string, len(s.entries)+len(s.unlisted))
	for _, e := range s.known() {
		s.domains[e.Address] = e.Domain
	}
}

// peers returns the other entries.
func (s *Server) peers() []sends.Peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]sends.Peer, 0, len(s.entries))
	for vm, e := range s.known() {
		if vm != s.cfg.VM {
			out = append(out, sends.Peer{Address: e.Address, Domain: e.Domain})
		}
	}
	return out
}

// entryCount returns the number of entries including this one.
func (s *Server) entryCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, len(s.entries)+len(s.unlisted))
}

// domainOf returns the failure domain of the entry at an address, or "".
func (s *Server) domainOf(address string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.domains[address]
}

// callerLimits returns the limits of the configuration.
func (s *Server) callerLimits() route.Limits {
	if t := s.sched.Table(); t != nil {
		return t.Limits()
	}
	return route.Limits{}
}

// register writes this entry's address to the store at the start, and again whenever a restore of
// the store lost it. It retries until it succeeds.
func (s *Server) register(ctx context.Context) {
	defer s.tasks.Done()
	for ctx.Err() == nil {
		if !s.putEntry(ctx) {
			pause.For(ctx, registerRetryDelay)
			continue
		}
		select {
		case <-s.lost:
			pause.For(ctx, rand.N(time.Duration(s.entryCount())*registerSpread)) // a copy may have lost all entries
		case <-ctx.Done():
		}
	}
}

// putEntry writes this entry's address to the store, and reports whether that was confirmed.
func (s *Server) putEntry(ctx context.Context) bool {
	if err := s.store.Put(ctx, platform.EntriesTopic, s.cfg.VM, platform.EncodeEntry(s.own)); err != nil {
		s.log.Warn("Could not register with the store.", "err", err)
		return false
	}
	s.log.Info("Registered with the store.", "address", s.own.Address)
	return true
}

// Serve serves until Shutdown is called or an error occurs.
func (s *Server) Serve() error {
	failed := make(chan error, 2)
	go func() { failed <- s.ready.Serve(s.readyLn) }()
	go func() { failed <- s.callers.Serve(s.callersLn) }()
	return <-failed
}

// Shutdown stops gracefully: it accepts requests until callers are sent elsewhere, finishes
// those in progress, and stops before the grace period ends. Only the first call has an effect.
func (s *Server) Shutdown(ctx context.Context) (err error) {
	s.shutdownOnce.Do(func() { err = s.shutdown(ctx) })
	return err
}

func (s *Server) shutdown(ctx context.Context) error {
	s.stopAt = time.Now().Add(s.cfg.Grace - stopMargin)
	s.leaving.Store(true)
	s.exchange.Leave()
	s.log.Info("Leaving.", "busy", s.inFlight.Load(), "streams", s.streams.Load())
	pause.For(ctx, acceptWhileLeaving)
	s.refusing.Store(true)
	s.log.Info("Closed idle connections.", "connections", s.callersLn.closeIdle())
	s.drain(ctx)
	s.stopping.Store(true)
	pause.For(ctx, flushWait)
	s.drain(ctx) // requests accepted just before stopping was set
	if cut := s.inFlight.Load(); cut > 0 {
		s.log.Warn("Ending requests that did not finish in time.", "requests", cut, "streams", s.streams.Load())
	}
	s.endCalls() // those without an answer get a failure
	s.flush(ctx)
	s.log.Info("Stopped.", "cut", s.inFlight.Load()+s.streams.Load())
	s.cancel()
	for _, f := range *s.followers.Load() {
		f.Close()
	}
	s.tunnels.Close()
	s.exchange.Close()
	s.records.Close()
	s.reach.Close()
	s.tasks.Wait()
	return errors.Join(s.callersLn.Close(), s.readyLn.Close(), s.metrics.Close())
}

// drain waits until no request is in progress, here or through a tunnel, and all answers are written, the entry has to stop, or
// ctx ends.
func (s *Server) drain(ctx context.Context) {
	for s.inFlight.Load()+s.streams.Load()+int64(s.callersLn.answering()+s.tunnels.Open()) > 0 && time.Now().Before(s.stopAt) && ctx.Err() == nil {
		pause.For(ctx, drainPollInterval)
	}
}

// flush waits until all answers are written, for flushWait at most.
func (s *Server) flush(ctx context.Context) {
	until := time.Now().Add(flushWait)
	for s.inFlight.Load()+int64(s.callersLn.answering()) > 0 && time.Now().Before(until) && ctx.Err() == nil {
		pause.For(ctx, flushPollInterval)
	}
}

// httpLogger is the logger of the HTTP library.
type httpLogger struct{ log *log.Logger }

// Printf logs at debug level, because disconnecting callers are nothing unusual.
func (q httpLogger) Printf(format string, args ...any) {
	q.log.Debug("Message of the HTTP library.", "text", fmt.Sprintf(format, args...))
}
