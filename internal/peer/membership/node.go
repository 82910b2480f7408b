// Package membership keeps what an entry knows of the other ones: who is live,
// suspect, leaving or gone in its failure domain, what they report about
// themselves and their upstreams, and summaries of the other failure domains.
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
	beatEvery    = time.Second
	randomEvery  = 3 * time.Second
	probeTimeout = 250 * time.Millisecond
	directTries  = 5
	reachHelpers = 2
	reachTimeout = 3 * probeTimeout
	pushFan      = 4
	spreadTime   = time.Millisecond
	closeDice    = 100 // number of the random numbers of Close
	pushGap      = 100 * time.Millisecond
	// isolatedAfter is how long no call succeeds until all others count as suspect.
	isolatedAfter = 3 * time.Second
	isolatedMin   = 4 // live entries; among fewer each one is suspected by itself
	// An entry reports at most once in reportPerEntry for each live entry of its
	// failure domain, so that the bytes do not grow with it.
	reportPerEntry = 200 * time.Millisecond
	reportLeast    = time.Second
	offsetEvery    = 200 * time.Millisecond
	// In a small failure domain a new offset is told at once.
	pushOffsets   = 8 // entries
	reportRefresh = 30 * time.Second
	bridgeEvery   = 2 * time.Second
	joinFirst     = 200 * time.Millisecond
	joinMax       = 5 * time.Second
	rejoinEvery   = 30 * time.Second
	maxContacts   = 8 // of a failure domain
	settledFor    = 100 * time.Millisecond
	maxClients    = 1024
)

// Config holds what a node needs.
type Config struct {
	VM          string
	Domain      string
	Address     string // host:port for other entries
	Incarnation uint64
	Seeds       []string // host:port of some entries
	Link        *link.Link
	// List reads the platform's VM list.
	List func(ctx context.Context) ([]vmlist.VM, error)
	// Offset returns the offset of the configuration in force here.
	Offset func() uint64
	// Report fills in the demands that this entry tells.
	Report func(r *memberwire.Report)
	// Loads fills in the loads of its upstreams while bytes are left.
	Loads func(r *memberwire.Report, left int)
	// Spent returns the bytes that this entry spent on control beside the link.
	Spent func() int64
	// Spare tells what the failure domain can take over from others.
	Spare func() []*memberwire.Spare
	Rand  uint64 // seed of the jitter
	Log   *log.Logger
	Scope tally.Scope
}

// Node is an entry among the others. Its methods may be called from any goroutine.
type Node struct {
	cfg    Config
	log    *log.Logger
	now    func() time.Time
	kicked chan struct{}
	done   chan struct{}
	stop   context.CancelFunc

	mu        sync.Mutex
	table     *table
	reports   *feed[*memberwire.Report]
	loads     *feed[*memberwire.Report]
	summaries *feed[*memberwire.Summary]
	cursors   map[string]*cursor
	clients   map[string]memberwire.Member
	contacts  map[string][]target // by failure domain
	listed    map[string]bool     // names that the VM list had
	budget    budget
	started   time.Time
	contacted time.Time // when a call last succeeded
	suspected int64

	settled    []string // entries that own duties, of a state of the table and a time
	settledGen uint64
	settledAt  time.Time
}

// New returns a node that serves its calls on the link. Start starts its duties.
func New(cfg Config) *Node {
	n := &Node{
		cfg:       cfg,
		log:       cfg.Log.WithPrefix("peers"),
		now:       time.Now,
		kicked:    make(chan struct{}, 1),
		done:      make(chan struct{}),
		reports:   newFeed[*memberwire.Report](),
		loads:     newFeed[*memberwire.Report](),
		summaries: newFeed[*memberwire.Summary](),
		cursors:   map[string]*cursor{},
		clients:   map[string]memberwire.Member{},
		contacts:  map[string][]target{},
		listed:    map[string]bool{},
		started:   time.Now(),
		contacted: time.Now(),
	}
	n.table = newTable(n.now, &memberwire.Peer{Name: cfg.VM, Address: cfg.Address, Incarnation: cfg.Incarnation})
	srv := memberwire.NewMemberServer(n)
	cfg.Link.Handle(srv.PathPrefix(), srv)
	return n
}

// Start starts the duties. Close ends them.
func (n *Node) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	n.stop = cancel
	n.publish()
	go n.run(ctx)
}

// run runs the duties and waits for them.
func (n *Node) run(ctx context.Context) {
	defer close(n.done)
	duties := []func(context.Context, *rand.Rand){
		func(ctx context.Context, r *rand.Rand) { n.watch(ctx, r, 0) },
		func(ctx context.Context, r *rand.Rand) { n.watch(ctx, r, 1) },
		n.wander, n.push, n.join, n.follow, n.report, n.bridge,
	}
	var wg sync.WaitGroup
	for i, duty := range duties {
		r := n.dice(uint64(i))
		wg.Go(func() { duty(ctx, r) })
	}
	wg.Wait()
}

// Leave tells the others that this entry is leaving: it gets no new work.
func (n *Node) Leave() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.tell(memberwire.State_LEAVING, n.table.self.GetSeq()+1)
	n.urgent()
}

// Close says that this entry is gone and ends the node.
func (n *Node) Close() {
	n.mu.Lock()
	n.table.tell(memberwire.State_GONE, n.table.self.GetSeq()+1)
	n.mu.Unlock()
	n.tellSome(context.Background(), n.dice(closeDice))
	n.stop()
	<-n.done
}

func (n *Node) urgent() {
	select {
	case n.kicked <- struct{}{}:
	default: // a push is due already
	}
}

func (n *Node) client(address string) memberwire.Member {
	n.mu.Lock()
	defer n.mu.Unlock()
	c := n.clients[address]
	if c == nil {
		c = memberwire.NewMemberProtobufClient("http://"+address, n.cfg.Link)
		n.clients[address] = c
	}
	return c
}

func (n *Node) budgetLeft() int {
	c := n.cfg.Link.Counters()
	return n.budget.left(c.Sent()+c.Received()+n.cfg.Spent(), n.now())
}

// dice returns the random numbers of a duty, which are its own so that a run in
// virtual time can be repeated.
func (n *Node) dice(duty uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.Rand+duty, n.cfg.Incarnation))
}

// jitter returns a time within a tenth of d.
func jitter(r *rand.Rand, d time.Duration) time.Duration {
	return d - d/10 + time.Duration(r.Int64N(int64(d/5)+1))
}

// spread returns a moment, so that calls made together don't leave at once.
func spread(r *rand.Rand) time.Duration { return time.Duration(r.Int64N(int64(spreadTime))) }

// watch probes a successor in the ring, again and again, the near one more often.
func (n *Node) watch(ctx context.Context, r *rand.Rand, slot int) {
	for pause.For(ctx, jitter(r, beatEvery*time.Duration(1+slot))) {
		n.mu.Lock()
		next := successors(n.table.live(), n.cfg.VM)
		var p *memberwire.Peer
		if slot < len(next) {
			p, _ = n.table.feed.get(next[slot])
		}
		n.mu.Unlock()
		if p != nil {
			n.check(ctx, r, targetOf(p), true)
		}
	}
}

// wander probes entries at random, half of the time such that can't be reached.
func (n *Node) wander(ctx context.Context, r *rand.Rand) {
	for pause.For(ctx, jitter(r, randomEvery)) {
		if p, live := n.anyone(r); p != nil && live {
			n.check(ctx, r, targetOf(p), false)
		} else if p != nil {
			_ = n.exchange(ctx, targetOf(p), false) // it was known not to answer
		}
	}
}

func (n *Node) anyone(r *rand.Rand) (p *memberwire.Peer, live bool) {
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

// reached reports whether one of several probes succeeds. After the second miss
// others are asked to probe as well.
func reached(tries int, direct func() bool, ask func() (answer func() bool)) bool {
	indirect := func() bool { return false }
	for i := range tries {
		if direct() {
			return true
		}
		if i == 1 {
			indirect = ask()
		}
	}
	return indirect()
}

// check probes an entry and suspects it where nobody reaches it.
func (n *Node) check(ctx context.Context, r *rand.Rand, to target, full bool) {
	ok := reached(
		directTries,
		func() bool { return n.probe(ctx, to, full) },
		func() func() bool { return n.askOthers(ctx, r, to) },
	)
	n.mu.Lock()
	defer n.mu.Unlock()
	if ok || ctx.Err() != nil || n.isolated() {
		return
	}
	if n.table.unreachable(to.vm, to.incarnation) {
		n.suspected++
		n.log.Warn("An entry can't be reached.", "entry", to.vm, "address", to.address)
		n.urgent()
	}
}

// probe exchanges once. A refused connection takes as long as a lost one, so that a
// restart is not taken for a death at once.
func (n *Node) probe(ctx context.Context, to target, full bool) bool {
	begun := n.now()
	if err := n.exchange(ctx, to, full); err == nil {
		return true
	}
	pause.For(ctx, probeTimeout-n.now().Sub(begun))
	return false
}

// askOthers has some entries probe another one. The answer waits for them.
func (n *Node) askOthers(ctx context.Context, r *rand.Rand, to target) (answer func() bool) {
	ctx, cancel := context.WithTimeout(ctx, reachTimeout)
	helpers := n.some(r, reachHelpers, to.vm)
	answers := make(chan bool, len(helpers))
	for _, h := range helpers {
		delay := spread(r)
		go func() {
			pause.For(ctx, delay)
			r, err := n.client(h.address).Reach(ctx, &memberwire.ReachRequest{Vm: to.vm, Address: to.address})
			answers <- err == nil && r.GetReached()
		}()
	}
	return func() bool {
		defer cancel()
		ok := false
		for range helpers {
			ok = <-answers || ok
		}
		return ok
	}
}

// some returns up to so many other live entries at random.
func (n *Node) some(r *rand.Rand, count int, but string) []target {
	n.mu.Lock()
	defer n.mu.Unlock()
	var out []target
	for _, p := range n.table.entries() {
		if p.GetState() == memberwire.State_LIVE && p.GetName() != n.cfg.VM && p.GetName() != but {
			out = append(out, targetOf(p))
		}
	}
	r.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(count, len(out))]
}

// push tells urgent news to some entries at once, and each of them does so in turn.
func (n *Node) push(ctx context.Context, r *rand.Rand) {
	for {
		select {
		case <-n.kicked:
		case <-ctx.Done():
			return
		}
		pause.For(ctx, jitter(r, pushGap/5))
		n.tellSome(ctx, r)
		pause.For(ctx, jitter(r, pushGap))
	}
}

func (n *Node) tellSome(ctx context.Context, r *rand.Rand) {
	var wg sync.WaitGroup
	for _, to := range n.some(r, pushFan, "") {
		delay := spread(r)
		wg.Go(func() {
			pause.For(ctx, delay)
			_ = n.exchange(ctx, to, false) // heartbeats repeat what was lost
		})
	}
	wg.Wait()
}

// join contacts seeds and listed entries until another entry is met, and a random
// one of them from time to time, so that parts that lost each other meet again.
func (n *Node) join(ctx context.Context, r *rand.Rand) {
	delay := joinFirst
	for ctx.Err() == nil {
		for _, to := range n.candidates(r) {
			if err := n.exchange(ctx, to, true); err == nil {
				break
			}
		}
		if n.alone() {
			delay = min(2*delay, joinMax)
		} else {
			delay = rejoinEvery
		}
		pause.For(ctx, jitter(r, delay))
	}
}

// candidates returns addresses of entries that are not known as live, in random order.
func (n *Node) candidates(r *rand.Rand) []target {
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

func (n *Node) alone() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.table.live()) < 2
}

// isolated reports whether no call has succeeded for some seconds although there
// are several others to call: it is this entry that is cut off.
func (n *Node) isolated() bool {
	return len(n.table.live()) >= isolatedMin && n.now().Sub(n.contacted) >= isolatedAfter
}

// report publishes what this entry tells about itself: a new offset soon, all else
// at its pace.
func (n *Node) report(ctx context.Context, r *rand.Rand) {
	offset, due := n.cfg.Offset(), n.now().Add(jitter(r, reportLeast))
	for {
		if next := n.cfg.Offset(); next != offset || !n.now().Before(due) {
			offset = next
			due = n.now().Add(jitter(r, n.publish()))
		}
		if !pause.For(ctx, jitter(r, offsetEvery)) {
			return
		}
	}
}

// publish puts out what is new of this entry. It returns the time until the next one.
func (n *Node) publish() time.Duration {
	n.mu.Lock()
	left := n.budgetLeft()
	n.mu.Unlock()
	r := &memberwire.Report{Vm: n.cfg.VM, Incarnation: n.cfg.Incarnation, Offset: n.cfg.Offset()}
	n.cfg.Report(r)
	l := &memberwire.Report{Vm: n.cfg.VM, Incarnation: n.cfg.Incarnation}
	n.cfg.Loads(l, left)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forget()
	n.measure()
	old, _ := n.reports.get(n.cfg.VM)
	if n.putOwn(n.reports, r) && r.GetOffset() != old.GetOffset() && len(n.table.live()) <= pushOffsets {
		n.urgent()
	}
	n.putOwn(n.loads, l)
	return max(reportLeast, reportPerEntry*time.Duration(len(n.table.live())))
}

// putOwn puts out a report of this entry where it differs from the last one or that
// is old.
func (n *Node) putOwn(f *feed[*memberwire.Report], r *memberwire.Report) bool {
	it := f.items[n.cfg.VM]
	if it != nil {
		r.Version = it.val.GetVersion()
		if proto.Equal(it.val, r) && n.now().Sub(it.at) < reportRefresh {
			return false
		}
	}
	r.Version++
	f.put(n.cfg.VM, r, n.cfg.VM, n.now())
	return true
}

// forget drops what is kept of entries that are gone for long.
func (n *Node) forget() {
	n.table.forget()
	for vm := range n.cursors {
		if _, known := n.table.feed.get(vm); !known {
			delete(n.cursors, vm)
		}
	}
	old := func(it *item[*memberwire.Report]) bool { return n.now().Sub(it.at) >= forgetAfter }
	n.reports.drop(old)
	n.loads.drop(old)
	if len(n.clients) > maxClients {
		clear(n.clients)
	}
}

func (n *Node) measure() {
	c := n.cfg.Link.Counters()
	n.cfg.Scope.Gauge("peer_bytes_sent").Update(float64(c.Sent()))
	n.cfg.Scope.Gauge("peer_bytes_received").Update(float64(c.Received()))
	n.cfg.Scope.Gauge("peer_budget_left_bytes").Update(float64(n.budgetLeft()))
	n.cfg.Scope.Gauge("peers_live").Update(float64(len(n.table.live())))
	n.cfg.Scope.Gauge("peers_out_of_reach").Update(float64(n.table.outOfReach()))
	n.cfg.Scope.Gauge("peer_suspicions").Update(float64(n.suspected))
}

// addContact notes the address of an entry of a failure domain.
func (n *Node) addContact(domain, vm, address string) {
	list := n.contacts[domain]
	i := slices.IndexFunc(list, func(t target) bool { return t.address == address })
	if i >= 0 {
		list = slices.Delete(list, i, i+1)
	}
	list = append(list, target{vm: vm, address: address})
	n.contacts[domain] = list[max(0, len(list)-maxContacts):]
}
