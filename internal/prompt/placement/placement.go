// Package placement chooses the engine, or the group of engines, that runs a prompt.
package placement

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/dogwoodmill/dogwoodmill/internal/operator/resource"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

const (
	retryAfter = 2 * time.Second
	// defaultMemory stands for an engine whose memory nobody told, in tokens.
	defaultMemory = 100_000
	// shortTokens is the longest prompt that engines run first.
	shortTokens = 4_000
	// priorities of streams at an engine
	priorityShort  = 2
	priorityMedium = 1
)

// Prompt is a request to place.
type Prompt struct {
	ID         string
	Workspace  string
	Deployment *resource.Deployment
	Text       string
	Tokens     int // estimated length of Text
	MaxTokens  int
	Seed       uint64
	Deadline   time.Time
}

// Placer places prompts. Its methods may be called from any goroutine.
type Placer struct {
	owner  engine.Owner
	domain string
	fleet  *fleet.Fleet
	log    *log.Logger

	mu          sync.Mutex
	outstanding map[string]int // tokens by engine
}

// New returns a placer for the entry of the owner in the failure domain.
func New(owner engine.Owner, domain string, f *fleet.Fleet, logger *log.Logger) *Placer {
	return &Placer{owner: owner, domain: domain, fleet: f, log: logger.WithPrefix("placement"), outstanding: map[string]int{}}
}

// Grant is the right to run a prompt at an engine. Done must be called once.
type Grant struct {
	placer *Placer
	prompt Prompt
	engine *fleet.Engine
	group  *group // nil for one engine
	cost   int
}

// Place chooses an engine that is not among the tried ones, by name.
func (p *Placer) Place(ctx context.Context, pr Prompt, tried map[string]bool) (*Grant, error) {
	engines := slices.DeleteFunc(p.fleet.Of(pr.Deployment), func(e *fleet.Engine) bool {
		l, _, failures := e.Load()
		return tried[e.Client().Name()] || l.Leaving || failures > 2
	})
	if len(engines) == 0 {
		return nil, fail("place", KindNoEngine, fmt.Errorf("deployment %q", pr.Deployment.Name()))
	}
	need := pr.Tokens + pr.MaxTokens
	fits := slices.DeleteFunc(slices.Clone(engines), func(e *fleet.Engine) bool { return need > memory(e) })
	if len(fits) == 0 {
		return p.placeGroup(ctx, pr, engines)
	}
	return p.grant(pr, p.least(fits), nil), nil
}

// least returns the engine with the fewest outstanding tokens, of those of the
// own failure domain first.
func (p *Placer) least(engines []*fleet.Engine) *fleet.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.MinFunc(engines, func(a, b *fleet.Engine) int {
		return cmp.Or(
			cmp.Compare(p.outstanding[a.Client().Name()], p.outstanding[b.Client().Name()]),
			cmp.Compare(p.distance(a), p.distance(b)),
		)
	})
}

func (p *Placer) distance(e *fleet.Engine) int {
	if e.Upstream().Spec().FailureDomain == p.domain {
		return 0
	}
	return 1
}

func (p *Placer) grant(pr Prompt, e *fleet.Engine, g *group) *Grant {
	gr := &Grant{placer: p, prompt: pr, engine: e, group: g, cost: pr.Tokens + pr.MaxTokens}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outstanding[e.Client().Name()] += gr.cost
	return gr
}

// Engine returns the engine to open the stream at.
func (g *Grant) Engine() *engine.Client { return g.engine.Client() }

// Request returns the engine's request for the stream id.
func (g *Grant) Request(stream string) engine.Request {
	r := engine.Request{
		Stream:    stream,
		Owner:     g.placer.owner,
		Model:     g.prompt.Deployment.Spec().Model,
		Prompt:    g.prompt.Text,
		MaxTokens: g.prompt.MaxTokens,
		Priority:  priority(g.prompt.Tokens),
		Seed:      g.prompt.Seed,
	}
	if g.group != nil {
		r.Hold, r.Group = g.group.leader(), g.group.size()
	}
	return r
}

// Outcome tells what became of a grant.
type Outcome struct {
	Err   error         // nil where the answer was whole
	Usage *engine.Usage // where the engine told it
}

// FirstToken notes that the first token came: the engine's prefill is over.
func (g *Grant) FirstToken() {
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	g.placer.outstanding[g.engine.Client().Name()] -= g.prompt.Tokens
	g.cost -= g.prompt.Tokens
}

// Done ends the grant and releases what it holds.
func (g *Grant) Done(Outcome) {
	if g.group != nil {
		g.group.close()
	}
	g.placer.mu.Lock()
	defer g.placer.mu.Unlock()
	name := g.engine.Client().Name()
	g.placer.outstanding[name] -= g.cost
	if g.placer.outstanding[name] == 0 {
		delete(g.placer.outstanding, name)
	}
}

// State is the placer's part of the state dump: outstanding tokens by engine.
type State struct {
	OutstandingTokens map[string]int `json:"outstandingTokens"`
}

// State returns the placer's part of the state dump.
func (p *Placer) State() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	st := State{OutstandingTokens: map[string]int{}}
	for name, n := range p.outstanding {
		st.OutstandingTokens[name] = n
	}
	return st
}

func memory(e *fleet.Engine) int {
	if n := e.Upstream().Spec().MemoryTokens; n > 0 {
		return n
	}
	if l, reported, _ := e.Load(); !reported.IsZero() {
		return l.MemoryTotal
	}
	return defaultMemory
}

func priority(tokens int) int {
	switch {
	case tokens <= shortTokens:
		return priorityShort
	case tokens <= 8*shortTokens:
		return priorityMedium
	default:
		return 0
	}
}
