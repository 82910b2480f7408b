package placement

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dogwoodmill/dogwoodmill/internal/base/fault"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/group"
	"github.com/dogwoodmill/dogwoodmill/internal/prompt/scheduler"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/engine"
	"github.com/dogwoodmill/dogwoodmill/internal/upstream/fleet"
)

const (
	// blockBytes is the length of text in a block of an engine's prefix cache.
	blockBytes = 1024
	// spillFresh is the age up to which a report of an engine of another failure
	// domain is believed.
	spillFresh = time.Second
)

// Grant is the right to run a prompt at an engine. Done must be called once.
type Grant struct {
	placer  *Placer
	waiter  *waiter
	engine  *fleet.Engine
	held    *group.Held // nil for one engine
	release func()      // gives the slot back; may be called again
}

// Outcome tells what became of a grant.
type Outcome struct {
	Err   error         // nil where the answer was whole
	Usage *engine.Usage // where the engine told it
}

// take turns engines that were given into a grant: it holds a group's memory, or
// takes the slot of a long prompt. Where that fails the request waits again, and
// neither a grant nor an error is returned.
func (p *Placer) take(ctx context.Context, w *waiter) (*Grant, error) {
	g := &Grant{placer: p, waiter: w, release: func() {}}
	w.takes++
	p.mu.Lock()
	members := w.ticket.Members()
	g.engine = w.pool.engines[members[0]]
	p.mu.Unlock()
	broken, err := "", p.confirm(ctx, w, members)
	switch {
	case err != nil:
	case w.ticket.Grouped():
		g.held, err = group.Take(ctx, fmt.Sprintf("%s-%d", w.prompt.ID, w.takes), members, w.ticket.Share(), p.calls(w))
		if m := (*group.MemberError)(nil); errors.As(err, &m) && engineFailed(ctx, err) {
			broken = m.Upstream()
		}
	case w.ticket.Class().Big() && p.seams.Slot != nil:
		var release func()
		if release, err = p.seams.Slot(ctx, members[0], w.ticket.Share()); err == nil {
			g.release = sync.OnceFunc(release)
		}
	}
	if err == nil {
		return g, nil
	}
	p.log.Debug("Engines could not be held.", "request", w.prompt.ID, "engines", members, "err", err)
	p.metrics.Counter("holds_failed").Inc(1)
	p.mu.Lock()
	defer p.mu.Unlock()
	w.pool.HoldFailed(w.ticket, broken)
	p.tickLater()
	return nil, nil
}

// confirm asks the chosen engines of another failure domain whether they take new
// work: those that look after them tell only their own domain within the limit.
func (p *Placer) confirm(ctx context.Context, w *waiter, members []string) error {
	for _, name := range members {
		p.mu.Lock()
		e := w.pool.engines[name]
		p.mu.Unlock()
		if e.Upstream().Spec().FailureDomain == p.domain {
			continue
		}
		if err := e.Confirm(ctx, spillFresh); err != nil {
			return err
		}
	}
	return nil
}

// calls returns the calls of the engines of a waiter's pool.
func (p *Placer) calls(w *waiter) group.Calls {
	client := func(upstream string) *engine.Client {
		p.mu.Lock()
		defer p.mu.Unlock()
		return w.pool.engines[upstream].Client()
	}
	return group.Calls{
		Hold: func(ctx context.Context, upstream, hold string, tokens int, ttl time.Duration) error {
			return client(upstream).Hold(ctx, engine.HoldRequest{Hold: hold, Owner: p.owner, Tokens: tokens, TTL: ttl})
		},
		Renew: func(ctx context.Context, upstream, hold string, ttl time.Duration) error {
			return client(upstream).Renew(ctx, hold, ttl)
		},
		Release: func(ctx context.Context, upstream, hold string) error { return client(upstream).Release(ctx, hold) },
		Refused: func(err error) bool { return fault.Is(err, engine.KindRefused) },
	}
}

// engineFailed reports whether an error is the engine's failure rather than a
// refusal or the end of the caller.
func engineFailed(ctx context.Context, err error) bool {
	return (fault.Is(err, engine.KindUnsent) || fault.Is(err, engine.KindLost)) && ctx.Err() == nil
}

// Engine returns the engine to open the stream at.
func (g *Grant) Engine() *engine.Client { return g.engine.Client() }

// Request returns the engine's request for the stream id.
func (g *Grant) Request(stream string) engine.Request {
	pr := g.waiter.prompt
	r := engine.Request{
		Stream:    stream,
		Owner:     g.placer.owner,
		Model:     pr.Deployment.Spec().Model,
		Prompt:    pr.Text,
		MaxTokens: pr.MaxTokens,
		Priority:  g.waiter.ticket.Priority(),
		Seed:      pr.Seed,
	}
	if g.held != nil {
		r.Hold, r.Group = g.held.Hold(0), g.held.Size()
	}
	return r
}

// FirstToken notes that the first token came: the engine's prefill is over.
func (g *Grant) FirstToken() {
	g.release()
	p := g.placer
	if p.seams.Ran != nil && g.held == nil {
		p.seams.Ran(g.engine.Client().Name(), g.waiter.blocks)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	g.waiter.pool.FirstToken(g.waiter.ticket)
	g.waiter.pool.Dispatch()
}

// Done ends the grant and releases what it holds.
func (g *Grant) Done(out Outcome) {
	g.release()
	if g.held != nil {
		g.held.Close()
		if n := g.held.Lapsed(); n > 0 {
			g.placer.log.Warn("Holds of a group lapsed while it ran.", "request", g.waiter.prompt.ID, "lapsed", n)
		}
	}
	pr := g.waiter.prompt
	o := scheduler.Outcome{Answered: out.Err == nil, Failed: g.failed(out.Err)}
	if out.Usage != nil {
		o.Tokens = out.Usage.CompletionTokens
		g.placer.sizes.Learn(pr.Deployment.Name(), pr.Workspace, pr.Text, out.Usage.PromptTokens, o.Tokens)
	}
	g.placer.end(g.waiter, o)
}

// failed reports whether an error is the engine's: it came before the caller's
// time limit and nobody gave up.
func (g *Grant) failed(err error) bool {
	lost := fault.Is(err, engine.KindUnsent) || fault.Is(err, engine.KindLost) || fault.Is(err, engine.KindBadPiece)
	return lost && !errors.Is(err, context.Canceled) && time.Now().Before(g.waiter.prompt.Deadline)
}

// blocks returns a hash for each whole block of a text, chained with those
// before it, as engines publish them.
func blocks(text string) []uint64 {
	out := make([]uint64, 0, len(text)/blockBytes)
	var prev uint64
	for ; len(text) >= blockBytes; text = text[blockBytes:] {
		prev = xxh3.HashStringSeed(text[:blockBytes], prev)
		out = append(out, prev)
	}
	return out
}
