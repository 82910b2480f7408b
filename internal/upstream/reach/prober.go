// Package reach tracks the upstreams that refuse connections or can't be reached. After
// one failed connection it probes the other upstreams of the same failure domain, so that
// an unreachable domain costs a few requests rather than some per upstream. Recovery is
// detected by probes, which send no request.
package reach

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	// probeInterval is the time between probes of an unreachable upstream: a fraction of
	// the time that a request can wait for it.
	probeInterval = 300 * time.Millisecond
	// forgetAfter is how long an unreachable upstream is probed. By then its registration
	// in the store has expired, too.
	forgetAfter = 30 * time.Second
	// maxConcurrentDials bounds the concurrent connection attempts of a probe.
	maxConcurrentDials = 32
)

// Settings configure a prober.
type Settings struct {
	Network *netio.Network // its dials must have a time limit
	// Siblings returns the addresses of the upstreams in the same failure domain.
	Siblings func(address string) []string
	// Changed is called after each probe.
	Changed func()
	Log     *log.Logger
}

// Prober tracks unreachable upstreams. It is safe for concurrent use.
type Prober struct {
	cfg         Settings
	probeDomain chan string
	stop        context.CancelFunc
	done        chan struct{}

	mu        sync.Mutex
	downSince map[string]time.Time // start of the outage, by address
}

// New returns a running prober. Close stops it.
func New(cfg Settings) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{cfg: cfg, probeDomain: make(chan string, maxConcurrentDials), stop: cancel, done: make(chan struct{}), downSince: map[string]time.Time{}}
	go p.run(ctx)
	return p
}

// Close stops the prober.
func (p *Prober) Close() {
	p.stop()
	<-p.done
}

// IsUnreachable reports whether an upstream is known to be unreachable.
func (p *Prober) IsUnreachable(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.downSince[address]
	return ok
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

// Try probes an upstream and reports whether it is reachable.
func (p *Prober) Try(ctx context.Context, address string) bool {
	p.probe(ctx, []string{address})
	return !p.IsUnreachable(address)
}

// markDown marks an upstream as unreachable and returns false if it already was.
func (p *Prober) markDown(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.downSince[address]; ok {
		return false
	}
	p.downSince[address] = time.Now()
	p.cfg.Log.Warn("Upstream is unreachable.", "address", address, "others", len(p.downSince)-1)
	return true
}

// markUp marks an upstream as reachable.
func (p *Prober) markUp(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.downSince[address]
	if !ok {
		return
	}
	delete(p.downSince, address)
	p.cfg.Log.Info("Upstream is reachable again.", "address", address, "after_ms", time.Since(since).Milliseconds())
}

func (p *Prober) run(ctx context.Context) {
	defer close(p.done)
	t := time.NewTicker(probeInterval)
	defer t.Stop()
	for {
		select {
		case address := <-p.probeDomain:
			p.probe(ctx, p.cfg.Siblings(address))
		case <-t.C:
			p.probe(ctx, p.Unreachable())
		case <-ctx.Done():
			return
		}
	}
}

// Unreachable returns the addresses of the unreachable upstreams. It forgets those that
// were unreachable for more than forgetAfter.
func (p *Prober) Unreachable() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, since := range p.downSince {
		if time.Since(since) > forgetAfter {
			delete(p.downSince, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// probe connects to the upstreams, concurrently, and records which are reachable.
func (p *Prober) probe(ctx context.Context, list []string) {
	if len(list) == 0 {
		return
	}
	slots := make(chan struct{}, maxConcurrentDials)
	var wg sync.WaitGroup
	for _, address := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
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
	}
	wg.Wait()
	p.cfg.Changed()
}
