// Package membership is a gossip protocol between entries with failure detection.
// Each entry keeps the state of the other entries of its failure domain (live,
// suspect, leaving or gone), their reports about themselves and their upstreams,
// and summaries of the other failure domains.
package membership

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"github.com/dogwoodmill/dogwoodmill/internal/base/pause"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/link"
	"github.com/dogwoodmill/dogwoodmill/internal/peer/memberwire"
	"github.com/dogwoodmill/dogwoodmill/internal/platform/vmlist"
)

const (
	heartbeatInterval   = time.Second
	randomProbeInterval = 3 * time.Second
	probeTimeout        = 250 * time.Millisecond
	directProbes        = 5
	indirectProbes      = 2
	indirectTimeout     = 3 * probeTimeout
	pushFanout          = 4
	maxSendDelay        = time.Millisecond
	closeRandStream     = 100 // random number stream of Close
	pushInterval        = 100 * time.Millisecond
	// isolatedAfter is how long all calls must fail before this entry considers
	// itself isolated and reports all others as suspect.
	isolatedAfter      = 3 * time.Second
	isolatedMinEntries = 4 // live entries; with fewer, each one is suspected individually
	// The report interval grows by reportIntervalPerEntry with each live entry, so
	// that the traffic of an entry doesn't grow with its failure domain.
	reportIntervalPerEntry = 200 * time.Millisecond
	minReportInterval      = time.Second
	offsetPollInterval     = 200 * time.Millisecond
	// In a failure domain of up to pushOffsetMaxEntries entries a new offset is
	// pushed at once.
	pushOffsetMaxEntries  = 8
	reportRefreshInterval = 30 * time.Second
	bridgeInterval        = 2 * time.Second
	joinInitialDelay      = 200 * time.Millisecond
	joinMaxDelay          = 5 * time.Second
	rejoinInterval        = 30 * time.Second
	maxContacts           = 8 // per failure domain
	settledCacheTTL       = 100 * time.Millisecond
	maxClients            = 1024
)

// Config holds the settings and dependencies of a Node.
type Config struct {
	VM          string
	Domain      string
	Address     string // host:port for other entries
	Incarnation uint64
	Seeds       []string // host:port of entries to contact first
	Link        *link.Link
	// List fetches the platform's VM list.
	List func(ctx context.Context) ([]vmlist.VM, error)
	// Offset returns the offset of the configuration in force at this entry.
	Offset func() uint64
	// Report adds the demands of this entry to r.
	Report func(r *memberwire.Report)
	// Loads adds the loads of the upstreams that this entry owns to r. It stops when
	// the byte budget left is used up.
	Loads func(r *memberwire.Report, left int)
	// Spent returns the bytes of control traffic that this entry sent and received
	// outside of the link.
	Spent func() int64
	// Spare returns the capacity that this failure domain can offer to others.
	Spare    func() []*memberwire.Spare
	RandSeed uint64 // seed of the random number streams
	Log      *log.Logger
	Scope    tally.Scope
}

// Node is this entry's member of the gossip protocol. Its methods are safe for
// concurrent use.
type Node struct {
	cfg         Config
	log         *log.Logger
	now         func() time.Time
	pushPending chan struct{} // holds a value while a push is due
	done        chan struct{}
	stop        context.CancelFunc

	mu          sync.Mutex
	table       *table
	reports     *feed[*memberwire.Report]
	loads       *feed[*memberwire.Report]
	summaries   *feed[*memberwire.Summary]
	cursors     map[string]*cursor
	clients     map[string]memberwire.Member
	contacts    map[string][]target // by failure domain
	everListed  map[string]bool     // VMs that the VM list has contained
	budget      budget
	started     time.Time
	lastContact time.Time // time of the last successful call
	suspicions  int64

	settledNames []string // cached result of table.settled, with its generation and time
	settledGen   uint64
	settledAt    time.Time
}

// New returns a node and registers its RPC handlers on the link. Start starts the
// background loops.
func New(cfg Config) *Node {
	n := &Node{
		cfg:         cfg,
		log:         cfg.Log.WithPrefix("peers"),
		now:         time.Now,
		pushPending: make(chan struct{}, 1),
		done:        make(chan struct{}),
		reports:     newFeed[*memberwire.Report](),
		loads:       newFeed[*memberwire.Report](),
		summaries:   newFeed[*memberwire.Summary](),
		cursors:     map[string]*cursor{},
		clients:     map[string]memberwire.Member{},
		contacts:    map[string][]target{},
		everListed:  map[string]bool{},
		started:     time.Now(),
		lastContact: time.Now(),
	}
	n.table = newTable(n.now, &memberwire.Peer{Name: cfg.VM, Address: cfg.Address, Incarnation: cfg.Incarnation})
	srv := memberwire.NewMemberServer(n)
	cfg.Link.Handle(srv.PathPrefix(), srv)
	return n
}

// Start starts the background loops. Close stops them.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.publish()
	go n.run(ctx)
}

// run runs the background loops until ctx ends and all of them have returned.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	loops := []func(context.Context, *rand.Rand){
		func(ctx context.Context, r *rand.Rand) { n.probeSuccessor(ctx, r, 0) },
		func(ctx context.Context, r *rand.Rand) { n.probeSuccessor(ctx, r, 1) },
		n.probeRandom, n.pushLoop, n.joinLoop, n.vmListLoop, n.reportLoop, n.bridgeLoop,
	}
	var wg sync.WaitGroup
	for i, loop := range loops {
		r := n.newRand(uint64(i))
		wg.Go(func() { loop(ctx, r) })
	}
	wg.Wait()
}

// Leave announces that this entry is leaving, so that it gets no new work.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.setSelf(memberwire.State_LEAVING, n.table.self.GetSeq()+1)
	n.requestPush()
}

// Close announces that this entry is gone and stops the node.
func (n *Node) Close() {
	n.mu.Lock()
	n.table.setSelf(memberwire.State_GONE, n.table.self.GetSeq()+1)
	n.mu.Unlock()
	n.pushUpdates(context.Background(), n.newRand(closeRandStream))
	n.stop()
	<-n.done
}

// requestPush makes pushLoop send urgent updates soon.
func (n *Node) requestPush() {
	select {
	case n.pushPending <- struct{}{}:
	default: // already pending
	}
}

func (n *Node) client(address string) memberwire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	client := n.clients[address]
	if client == nil {
		client = memberwire.NewMemberProtobufClient("http://"+address, n.cfg.Link)
		n.clients[address] = client
	}
	return client
}

func (n *Node) budgetLeft() int {
	counters := n.cfg.Link.Counters()
	return n.budget.left(counters.Sent()+counters.Received()+n.cfg.Spent(), n.now())
}

// newRand returns the random number generator of a background loop. Each loop has
// a stream of its own so that runs in virtual time are reproducible.
func (n *Node) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.RandSeed+stream, n.cfg.Incarnation))
}

// jitter returns d changed at random by up to 10%.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d - d/10 + time.Duration(r.Int64N(int64(d/5)+1))
}

// sendDelay returns a random delay that keeps concurrent calls from being sent all
// at the same instant.
func sendDelay(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(maxSendDelay))) }

// probeSuccessor periodically probes the ring successor with the given index. The
// nearer one, index 0, is probed twice as often as the other.
func (n *Node) probeSuccessor(ctx context.Context, r *rand.Rand, index int) {
	for pause.For(ctx, jitter(r, heartbeatInterval*time.Duration(1+index))) {
		n.mu.Lock()
		next := successors(n.table.live(), n.cfg.VM)
		var p *memberwire.Peer
		if index < len(next) {
			p, _ = n.table.feed.get(next[index])
		}
		n.mu.Unlock()
		if p != nil {
			n.checkEntry(ctx, r, targetOf(p), true)
		}
	}
}

// probeRandom periodically probes a random entry. Half of the time it picks a
// suspect or gone one, if there are any.
func (n *Node) probeRandom(ctx context.Context, r *rand.Rand) {
	for pause.For(ctx, jitter(r, randomProbeInterval)) {
		if p, live := n.randomEntry(r); p != nil && live {
			n.checkEntry(ctx, r, targetOf(p), false)
		} else if p != nil {
			_ = n.exchange(ctx, targetOf(p), false) // expected to fail
		}
	}
}

// randomEntry returns a random entry other than this one, and whether it is
// assumed to answer. It returns nil if there is none.
func (n *Node) randomEntry(r *rand.Rand) (p *memberwire.Peer, live bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	var up, down []*memberwire.Peer
	for _, p := range n.table.entries() {
		switch {
		case p.GetName() == n.cfg.VM:
		case p.GetState() == memberwire.State_SUSPECT || p.GetState() == memberwire.State_GONE:
			down = append(down, p)
		default:
			up = append(up, p)
		}
	}
	if len(down) > 0 && (len(up) == 0 || r.IntN(2) == 0) {
		return down[r.IntN(len(down))], false
	}
	if len(up) > 0 {
		return up[r.IntN(len(up))], true
	}
	return nil, false
}

// reachable reports whether any of several direct probes succeeds. After the second
// failure it also starts indirect probes and, if all direct ones fail, waits for
// their result.
func reachable(probes int, direct func() bool, probeIndirect func() (result func() bool)) bool {
	indirect := func() bool { return false }
	for i := range probes {
		if direct() {
			return true
		}
		if i == 1 {
			indirect = probeIndirect()
		}
	}
	return indirect()
}

// checkEntry probes an entry and marks it unreachable if all direct and indirect
// probes fail. It marks nothing while this entry is isolated.
func (n *Node) checkEntry(ctx context.Context, r *rand.Rand, to target, full bool) {
	ok := reachable(
		directProbes,
		func() bool { return n.probe(ctx, to, full) },
		func() func() bool { return n.probeIndirectly(ctx, r, to) },
	)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ok || ctx.Err() != nil || n.isolated() {
		return
	}
	if n.table.markUnreachable(to.vm, to.incarnation) {
		n.suspicions++
		n.log.Warn("An entry can't be reached.", "entry", to.vm, "address", to.address)
		n.requestPush()
	}
}

// probe makes one exchange. A failure always takes probeTimeout: connections that
// are refused at once during a restart would otherwise use up all probes and make
// the entry suspect.
func (n *Node) probe(ctx context.Context, to target, full bool) bool {
	start := n.now()
	if err := n.exchange(ctx, to, full); err == nil {
		return true
	}
	pause.For(ctx, probeTimeout-n.now().Sub(start))
	return false
}

// probeIndirectly asks some other entries to probe an entry. The returned function
// waits for their answers and reports whether any of them reached it.
func (n *Node) probeIndirectly(ctx context.Context, r *rand.Rand, to target) (result func() bool) {
	ctx, cancel := context.WithTimeout(ctx, indirectTimeout)
	helpers := n.randomLive(r, indirectProbes, to.vm)
	results := make(chan bool, len(helpers))
	for _, h := range helpers {
		delay := sendDelay(r)
		go func() {
			pause.For(ctx, delay)
			r, err := n.client(h.address).Reach(ctx, &memberwire.ReachRequest{Vm: to.vm, Address: to.address})
			results <- err == nil && r.GetReached()
		}()
	}
	return func() bool {
		defer cancel()
		ok := false
		for range helpers {
			ok = <-results || ok
		}
		return ok
	}
}

// randomLive returns up to count random live entries other than this one and
// exclude.
func (n *Node) randomLive(r *rand.Rand, count int, exclude string) []target {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []target
	for _, p := range n.table.entries() {
		if p.GetState() == memberwire.State_LIVE && p.GetName() != n.cfg.VM && p.GetName() != exclude {
			out = append(out, targetOf(p))
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

// pushLoop sends urgent updates to a few random entries when asked to by
// requestPush. The receivers push them on in the same way.
func (n *Node) pushLoop(ctx context.Context, r *rand.Rand) {
	for {
		select {
		case <-n.pushPending:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, jitter(r, pushInterval/5))
		n.pushUpdates(ctx, r)
		pause.For(ctx, jitter(r, pushInterval))
	}
}

// pushUpdates exchanges with up to pushFanout random live entries.
func (n *Node) pushUpdates(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	for _, to := range n.randomLive(r, pushFanout, "") {
		delay := sendDelay(r)
		wg.Go(func() {
			pause.For(ctx, delay)
			_ = n.exchange(ctx, to, false) // later heartbeats resend what was lost
		})
	}
	wg.Wait()
}

// joinLoop contacts seeds and entries of the VM list, with exponential backoff until
// another entry is found. After that it still contacts one at random every
// rejoinInterval, so that partitions that lost track of each other merge again.
func (n *Node) joinLoop(ctx context.Context, r *rand.Rand) {
	delay := joinInitialDelay
	for ctx.Err() == nil {
		for _, to := range n.joinCandidates(r) {
			if err := n.exchange(ctx, to, true); err == nil {
				break
			}
		}
		if n.isAlone() {
			delay = min(2*delay, joinMaxDelay)
		} else {
			delay = rejoinInterval
		}
		pause.For(ctx, jitter(r, delay))
	}
}

// joinCandidates returns the addresses of seeds and contacts of the own failure
// domain that are not known as live entries, in random order.
func (n *Node) joinCandidates(r *rand.Rand) []target {
	n.mu.Lock()
	defer n.mu.Unlock()
	known := map[string]bool{n.cfg.Address: true}
	for _, p := range n.table.entries() {
		if p.GetState() == memberwire.State_LIVE {
			known[p.GetAddress()] = true
		}
	}
	var out []target
	for _, a := range n.cfg.Seeds {
		if !known[a] {
			out = append(out, target{address: a})
		}
	}
	for _, c := range n.contacts[n.cfg.Domain] {
		if !known[c.address] {
			out = append(out, target{address: c.address})
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

func (n *Node) isAlone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.table.live()) < 2
}

// isolated reports whether this entry appears to be disconnected from the network: no
// call has succeeded for isolatedAfter, with several live entries to call.
func (n *Node) isolated() bool {
	return len(n.table.live()) >= isolatedMinEntries && n.now().Sub(n.lastContact) >= isolatedAfter
}

// reportLoop publishes the reports of this entry: a new offset within about
// offsetPollInterval, everything else at the interval that publish returns.
func (n *Node) reportLoop(ctx context.Context, r *rand.Rand) {
	offset, due := n.cfg.Offset(), n.now().Add(jitter(r, minReportInterval))
	for {
		if next := n.cfg.Offset(); next != offset || !n.now().Before(due) {
			offset = next
			due = n.now().Add(jitter(r, n.publish()))
		}
		if !pause.For(ctx, jitter(r, offsetPollInterval)) {
			return
		}
	}
}

// publish adds this entry's reports to its feeds if they have changed. It returns
// the time until the next regular report.
func (n *Node) publish() time.Duration {
	n.mu.Lock()
	left := n.budgetLeft()
	n.mu.Unlock()
	report := &memberwire.Report{Vm: n.cfg.VM, Incarnation: n.cfg.Incarnation, Offset: n.cfg.Offset()}
	n.cfg.Report(report)
	loads := &memberwire.Report{Vm: n.cfg.VM, Incarnation: n.cfg.Incarnation}
	n.cfg.Loads(loads, left)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.evictExpired()
	n.updateMetrics()
	old, _ := n.reports.get(n.cfg.VM)
	if n.putOwnReport(n.reports, report) && report.GetOffset() != old.GetOffset() && len(n.table.live()) <= pushOffsetMaxEntries {
		n.requestPush()
	}
	n.putOwnReport(n.loads, loads)
	return max(minReportInterval, reportIntervalPerEntry*time.Duration(len(n.table.live())))
}

// putOwnReport adds a report of this entry to the feed if it differs from the last
// one or that is older than reportRefreshInterval. It reports whether it did.
func (n *Node) putOwnReport(f *feed[*memberwire.Report], r *memberwire.Report) bool {
	it := f.items[n.cfg.VM]
	if it != nil {
		r.Version = it.val.GetVersion()
		if proto.Equal(it.val, r) && n.now().Sub(it.storedAt) < reportRefreshInterval {
			return false
		}
	}
	r.Version++
	f.put(n.cfg.VM, r, n.cfg.VM, n.now())
	return true
}

// evictExpired drops the records of entries that have been gone for recordTTL, and
// all cached clients once there are more than maxClients.
func (n *Node) evictExpired() {
	n.table.evictExpired()
	for vm := range n.cursors {
		if _, known := n.table.feed.get(vm); !known {
			delete(n.cursors, vm)
		}
	}
	expired := func(it *item[*memberwire.Report]) bool { return n.now().Sub(it.storedAt) >= recordTTL }
	n.reports.evict(expired)
	n.loads.evict(expired)
	if len(n.clients) > maxClients {
		clear(n.clients)
	}
}

func (n *Node) updateMetrics() {
	counters := n.cfg.Link.Counters()
	n.cfg.Scope.Gauge("peer_bytes_sent").Update(float64(counters.Sent()))
	n.cfg.Scope.Gauge("peer_bytes_received").Update(float64(counters.Received()))
	n.cfg.Scope.Gauge("peer_budget_left_bytes").Update(float64(n.budgetLeft()))
	n.cfg.Scope.Gauge("peers_live").Update(float64(len(n.table.live())))
	n.cfg.Scope.Gauge("peers_out_of_reach").Update(float64(n.table.outOfReach()))
	n.cfg.Scope.Gauge("peer_suspicions").Update(float64(n.suspicions))
}

// addContact records the address of an entry of a failure domain. Only the newest
// maxContacts addresses per domain are kept.
func (n *Node) addContact(domain, vm, address string) {
	list := n.contacts[domain]
	i := slices.IndexFunc(list, func(t target) bool { return t.address == address })
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, target{vm: vm, address: address})
	n.contacts[domain] = list[max(0, len(list)-maxContacts):]
}
