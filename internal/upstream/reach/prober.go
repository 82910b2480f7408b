// Package reach keeps the upstreams that can't be connected to. One failure makes it
// look at the others of the same failure domain, so that a domain that is cut off
// costs a few requests rather than some at each upstream; no request is risked to
// learn of the return.
package reach

import (
	"context"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/base/netio"
)

const (
	// probeEvery is how often an upstream that can't be connected to is tried: a
	// fraction of the time that a request can wait for it.
	probeEvery = 300 * time.Millisecond
	// forgetAfter is how long an upstream is tried: then its entry has lapsed, too.
	forgetAfter = 30 * time.Second
	// atOnce bounds the connections that are tried at the same time.
	atOnce = 32
)

// Settings are a prober's surroundings.
type Settings struct {
	Network *netio.Network // with the time limit of a dial
	// Siblings returns the addresses of the upstreams in the same failure domain.
	Siblings func(address string) []string
	// Changed is called where an upstream was found cut off or back.
	Changed func()
	Log     *log.Logger
}

// Prober knows which upstreams can't be connected to. Its methods may be called
// from any goroutine.
type Prober struct {
	cfg  Settings
	kick chan string
	stop context.CancelFunc
	done chan struct{}

	mu  sync.Mutex
	cut map[string]time.Time // since when, by address
}

// New starts a prober. Close ends it.
func New(cfg Settings) *Prober {
	ctx, cancel := context.WithCancel(context.Background())
	p := &Prober{cfg: cfg, kick: make(chan string, atOnce), stop: cancel, done: make(chan struct{}), cut: map[string]time.Time{}}
	go p.run(ctx)
	return p
}

// Close ends the prober.
func (p *Prober) Close() {
	p.stop()
	<-p.done
}

// Cut reports whether an upstream can't be connected to.
func (p *Prober) Cut(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, ok := p.cut[address]
	return ok
}

// Failed notes that an upstream could not be connected to.
func (p *Prober) Failed(address string) {
	if !p.add(address) {
		return
	}
	select {
	case p.kick <- address:
	default: // others of the domain fail by themselves
	}
}

// Try connects to an upstream and reports whether that went well.
func (p *Prober) Try(ctx context.Context, address string) bool {
	p.probe(ctx, []string{address})
	return !p.Cut(address)
}

func (p *Prober) add(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, ok := p.cut[address]; ok {
		return false
	}
	p.cut[address] = time.Now()
	p.cfg.Log.Warn("An upstream can't be connected to.", "address", address, "others", len(p.cut)-1)
	return true
}

func (p *Prober) remove(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	since, ok := p.cut[address]
	if !ok {
		return
	}
	delete(p.cut, address)
	p.cfg.Log.Info("An upstream counts as connected again.", "address", address, "after_ms", time.Since(since).Milliseconds())
}

func (p *Prober) run(ctx context.Context) {
	defer close(p.done)
	t := time.NewTicker(probeEvery)
	defer t.Stop()
	for {
		select {
		case address := <-p.kick:
			p.probe(ctx, p.cfg.Siblings(address))
		case <-t.C:
			p.probe(ctx, p.Suspects())
		case <-ctx.Done():
			return
		}
	}
}

// Suspects returns the upstreams that can't be connected to.
func (p *Prober) Suspects() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for address, since := range p.cut {
		if time.Since(since) > forgetAfter {
			delete(p.cut, address)
			continue
		}
		out = append(out, address)
	}
	return out
}

// probe connects to upstreams and notes which can be connected to.
func (p *Prober) probe(ctx context.Context, list []string) {
	if len(list) == 0 {
		return
	}
	slots := make(chan struct{}, atOnce)
	var wg sync.WaitGroup
	for _, address := range list {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			c, err := p.cfg.Network.Dial(ctx, address)
			if err != nil {
				if ctx.Err() == nil {
					p.add(address)
				}
				return
			}
			_ = c.Close() // nothing was sent on it
			p.remove(address)
		})
	}
	wg.Wait()
	p.cfg.Changed()
}
