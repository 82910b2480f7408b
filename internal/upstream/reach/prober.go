// Package reach tracks the upstreams that refuse connections or can't be reached. After
// one failed connection it probes the other upstreams of the same failure domain, so that
// an unreachable domain costs a few requests rather than some per upstream. Recovery is
// detected by probes, which send no request.
//
// Where no upstream of a service can be connected to, this entry may be the one that is cut off. It
// then connects to those that another entry reaches through that entry, until it reaches them itself.
package reach

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	// probeInterval is the time between probes of an unreachable upstream: a fraction of
	// the time that a request can wait for it.
	probeInterval = 300 * time.Millisecond
	// detourInterval is the time between attempts to reach an upstream through another entry. If
	// all servers of a service have crashed, other entries are asked in vain.
	detourInterval = time.Second
	// forgetAfter is how long an unreachable upstream is probed. By then its registration
	// in the store has expired, too.
	forgetAfter = 30 * time.Second
	// maxConcurrentDials bounds the concurrent connection attempts of a probe.
	maxConcurrentDials = 32
	// sampleSize is how many upstreams elsewhere are probed after a failure domain is lost.
	sampleSize = 3
)

// Settings configure a prober.
type Settings struct {
	Network *netio.Network // its dials must have a time limit
	// Detour connects to an upstream through another entry. nil: there is none.
	Detour func(ctx context.Context, address string) (net.Conn, error)
	// Siblings returns the addresses of the upstreams in the same failure domain.
	Siblings func(address string) []string
	// Services returns the addresses of all upstreams, in a list for each service.
	Services func() [][]string
	// Changed is called after each probe.
	Changed func()
	// Reconnected is called for an upstream that could not be connected to, neither directly nor through
	// another entry, before it counts as reachable. It may be nil.
	Reconnected func(address string)
	Log         *log.Logger
}

// outage is the time during which an upstream can't be connected to.
type outage struct {
	since    time.Time
	detour   bool      // another entry connects to it
	detourAt time.Time // when other entries were last asked to
}

// Prober tracks unreachable upstreams. It is safe for concurrent use.
type Prober struct {
	cfg         Settings
	probeDomain chan string
	stop        context.CancelFunc
	done        chan struct{}
	cutOff      atomic.Bool

	mu      sync.Mutex
	outages map[string]*outage // by address
}

// New returns a running prober. Close stops it.
func New(cfg Settings) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{cfg: cfg, probeDomain: make(chan string, maxConcurrentDials), stop: cancel, done: make(chan struct{}), outages: map[string]*outage{}}
	go p.run(ctx)
	return p
}

// Close stops the prober.
func (p *Prober) Close() {
	p.stop()
	<-p.done
}

// IsUnreachable reports whether an upstream is known to be unreachable, directly and through
// other entries.
func (p *Prober) IsUnreachable(address string) bool {
	o, down := p.outage(address)
	return down && !o.detour
}

// HasDetour reports whether an upstream is reached through another entry.
func (p *Prober) HasDetour(address string) bool {
	o, _ := p.outage(address)
	return o.detour
}

// outage returns the outage of an upstream, and whether it has one.
func (p *Prober) outage(address string) (outage, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if o := p.outages[address]; o != nil {
		return *o, true
	}
	return outage{}, false
}

// IsCutOff reports whether none of the known upstreams can be connected to directly.
func (p *Prober) IsCutOff() bool { return p.cutOff.Load() }

// Dial connects to an upstream, through another entry if it is reached so only.
func (p *Prober) Dial(ctx context.Context, address string) (net.Conn, error) {
	if !p.HasDetour(address) {
		return p.cfg.Network.Dial(ctx, address)
	}
	c, err := p.cfg.Detour(ctx, address)
	if err != nil && ctx.Err() == nil {
		p.setDetour(address, false)
	}
	return c, err
}

// ReportFailure records a failed connection to an upstream. The first failure triggers a
// probe of the other upstreams in its failure domain.
func (p *Prober) ReportFailure(address string) {
	if !p.markDown(address) {
		return
	}
	select {
	case p.probeDomain <- address:
	default: // the queue is full: requests to the others find out by themselves
	}
}

// Try probes an upstream, through another entry if need be, and reports whether it is reachable.
func (p *Prober) Try(ctx context.Context, address string) bool {
	p.probe(ctx, []string{address})
	if p.IsUnreachable(address) {
		p.findDetour(ctx, address)
	}
	return !p.IsUnreachable(address)
}

// markDown marks an upstream as unreachable and returns false if it already was.
func (p *Prober) markDown(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.outages[address] != nil {
		return false
	}
	p.outages[address] = &outage{since: time.Now()}
	p.cfg.Log.Warn("Upstream is unreachable.", "address", address, "others", len(p.outages)-1)
	return true
}

// markUp marks an upstream as reachable.
func (p *Prober) markUp(address string) {
	if p.IsUnreachable(address) {
		p.reconnected(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outages[address]
	if o == nil {
		return
	}
	delete(p.outages, address)
	p.cfg.Log.Info("Upstream is reachable again.", "address", address, "after_ms", time.Since(o.since).Milliseconds(), "detour", o.detour)
}

// reconnected reports an upstream that is about to count as reachable. p.mu must not be held.
func (p *Prober) reconnected(address string) {
	if p.cfg.Reconnected != nil {
		p.cfg.Reconnected(address)
	}
}

// setDetour records whether an unreachable upstream is reached through another entry.
func (p *Prober) setDetour(address string, found bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	o := p.outages[address]
	if o == nil || o.detour == found {
		return
	}
	o.detour, o.detourAt = found, time.Now()
	if found {
		p.cfg.Log.Info("Upstream is reached through another entry.", "address", address, "after_ms", time.Since(o.since).Milliseconds())
		return
	}
	p.cfg.Log.Warn("Upstream is no longer reached through another entry.", "address", address)
}

func (p *Prober) run(ctx context.Context) {
	defer close(p.done)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case address := <-p.probeDomain:
			p.probeAfter(ctx, address)
		case <-t.C:
			p.forget()
			p.probe(ctx, p.down())
		case <-ctx.Done():
			return
		}
	}
}

// probeAfter probes the failure domain of an upstream that became unreachable. If all of it is lost,
// this entry may be cut off, and some of the other upstreams tell.
func (p *Prober) probeAfter(ctx context.Context, address string) {
	siblings := p.cfg.Siblings(address)
	p.probe(ctx, siblings)
	if !p.allDown(siblings) {
		return
	}
	others := slices.DeleteFunc(slices.Concat(p.cfg.Services()...), p.isDown)
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	sample := others[:min(len(others), sampleSize)]
	p.probe(ctx, sample)
	if p.allDown(sample) {
		p.probe(ctx, others[len(sample):])
	}
}

// isDown reports whether an upstream can't be connected to directly.
func (p *Prober) isDown(address string) bool {
	_, down := p.outage(address)
	return down
}

func (p *Prober) allDown(list []string) bool {
	return !slices.ContainsFunc(list, func(address string) bool { return !p.isDown(address) })
}

// down returns the addresses of the upstreams that can't be connected to directly.
func (p *Prober) down() []string { return p.addresses(func(*outage) bool { return true }) }

// Unreachable returns the addresses of the unreachable upstreams.
func (p *Prober) Unreachable() []string {
	return p.addresses(func(o *outage) bool { return !o.detour })
}

// Detours returns the addresses of the upstreams that are reached through other entries.
func (p *Prober) Detours() []string { return p.addresses(func(o *outage) bool { return o.detour }) }

// addresses returns those of the upstreams whose outages match.
func (p *Prober) addresses(matches func(o *outage) bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, o := range p.outages {
		if matches(o) {
			out = append(out, address)
		}
	}
	return out
}

// forget forgets the upstreams that were unreachable for more than forgetAfter, unless they are
// registered and reached through another entry.
func (p *Prober) forget() {
	down := p.down()
	if len(down) == 0 {
		return
	}
	known := map[string]bool{}
	for _, address := range slices.Concat(p.cfg.Services()...) {
		known[address] = true
	}
	for _, address := range down {
		o, still := p.outage(address)
		if !still || time.Since(o.since) <= forgetAfter || o.detour && known[address] {
			continue
		}
		p.reconnected(address) // it may be reachable, which nothing will tell
		p.mu.Lock()
		delete(p.outages, address)
		p.mu.Unlock()
	}
}

// probe connects to the upstreams and records which are reachable. Those of a service that is lost as
// a whole are sought through other entries.
func (p *Prober) probe(ctx context.Context, list []string) {
	if len(list) == 0 {
		return
	}
	each(list, func(address string) {
		c, err := p.cfg.Network.Dial(ctx, address)
		if err != nil {
			if ctx.Err() == nil {
				p.markDown(address)
			}
			return
		}
		_ = c.Close() // unused
		p.markUp(address)
	})
	each(p.lost(), func(address string) { p.findDetour(ctx, address) })
	p.cfg.Changed()
}

// lost returns the upstreams of the services none of which can be connected to directly, and updates
// whether this entry is cut off from all of them.
func (p *Prober) lost() []string {
	var out []string
	lost, count := 0, 0
	if len(p.down()) > 0 {
		for _, list := range p.cfg.Services() {
			count++
			if p.allDown(list) {
				lost++
				out = append(out, list...)
			}
		}
	}
	cutOff := count > 0 && lost == count
	switch was := p.cutOff.Swap(cutOff); {
	case cutOff && !was:
		p.cfg.Log.Warn("No upstream can be connected to directly.", "upstreams", len(out))
	case was && !cutOff:
		p.cfg.Log.Info("Upstreams can be connected to directly again.")
	}
	return out
}

// findDetour connects to an unreachable upstream through another entry, and records whether that
// succeeds.
func (p *Prober) findDetour(ctx context.Context, address string) {
	p.mu.Lock()
	o := p.outages[address]
	due := p.cfg.Detour != nil && o != nil && !o.detour && time.Since(o.detourAt) >= detourInterval
	if due {
		o.detourAt = time.Now()
	}
	p.mu.Unlock()
	if !due {
		return
	}
	c, err := p.cfg.Detour(ctx, address)
	if err != nil {
		p.cfg.Log.Debug("Found no detour.", "address", address, "err", err)
		return
	}
	_ = c.Close() // unused
	p.setDetour(address, true)
}

// each calls f for each address, concurrently.
func each(list []string, f func(address string)) {
	slots := make(chan struct{}, maxConcurrentDials)
	var wg sync.WaitGroup
	for _, address := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			f(address)
		})
	}
	wg.Wait()
}
